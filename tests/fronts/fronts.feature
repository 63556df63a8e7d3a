Feature: Requests through a front, with real processes
  Background:
    Given a platform

  Scenario: a stream arrives complete, in order and under the key's account
    Given engines e1 in north-1, and a front
    When a caller requests a stream of 20 events
    Then the caller has received events 1 to 20 and a complete answer
    And exactly 1 run began, for account lakeshore, without the key

  Scenario: a stream continues on an engine with a copy after a broken connection
    Given engines e1 in north-1, e2 in north-2, and a front
    And e1 breaks its streams after 8 events
    When a caller requests a stream of 20 events
    Then the caller has received events 1 to 20 and a complete answer
    And e2 continued from a copy

  Scenario Outline: a stream without length or chunks
    Given engines e1 in north-1, e2 in north-2, and a front
    And e1 answers without length or chunks
    And e1 breaks its streams after <broken> events
    When a caller requests a stream of 20 events
    Then the caller has received events 1 to 20 and a complete answer
    And e2 has run <runs> of them

    Examples:
      | broken | runs |
      | 0      | 1    |
      | 8      | 1    |
      | 99     | 0    |

  Scenario: calls without length or chunks
    Given desks d1, d2 and a front
    And both desks answer without length or chunks
    When a caller buys
    Then the caller gets 200
    When both desks cut the connection
    And a caller buys
    Then the caller gets 502

  Scenario: an engine that falls silent is replaced and its run is stopped
    Given engines e1 in north-1, e2 in north-2, and a front
    And e1 falls silent in its streams after 6 events
    When a caller requests a stream of 20 events
    Then the caller has received events 1 to 20 and a complete answer
    And the two runs of the request overlapped for less than 0.4 s

  Scenario: a stream completes although its engine is killed before the first event
    Given engines e1 in north-1, e2 in north-2, and a front
    And e1 needs 3000 ms for a prompt
    When a caller requests a stream of 10 events and e1 is killed after 0.5 s
    Then the caller has received events 1 to 10 and a complete answer

  Scenario: a front that did not run for a while keeps its streams
    Given engines e1 in north-1, e2 in north-2, and a front
    And e1 is reached through a link
    When a caller has begun to read a stream of 120 events
    And the front and the link are paused for 1.5 s, the link 0.15 s longer
    Then the caller has received events 1 to 120 and a complete answer
    And exactly 1 run began, for account lakeshore, without the key

  Scenario: an engine that turns slower in the middle of a stream keeps it
    Given engines e1 in north-1, e2 in north-2, and a front
    When a caller has begun to read a stream of 40 events
    And e1 takes 80 ms instead of 20 ms for an event
    Then the caller has received events 1 to 40 and a complete answer
    And exactly 1 run began, for account lakeshore, without the key

  Scenario Outline: a purchase runs at most once, whatever the fault
    Given desks d1, d2 and a front
    And both desks <fault>
    When a caller buys
    Then the caller gets <status>
    And the purchase ran <runs> times

    Examples:
      | fault                  | status | runs |
      | work correctly         | 200    | 1    |
      | cut the connection     | 502    | 1    |
      | answer another request | 502    | 1    |
      | send unsigned answers  | 502    | 1    |
      | encode their answers   | 502    | 1    |
      | truncate their answers | 502    | 1    |
      | answer twice           | 200    | 1    |
      | fail                   | 500    | 1    |
      | are at capacity        | 503    | 0    |

  Scenario: a lookup that fails on one server is answered by another
    Given desks d1, d2 and a front
    And desk d1 cuts its connections
    When a caller looks up 10 times
    Then each lookup was answered with its own answer

  Scenario: a service at capacity tells callers when to retry
    Given desks d1, d2 and a front
    And both desks are at capacity
    When a caller buys
    Then the answer has a retry time

  Scenario Outline: a request to a service without live servers fails at once
    Given desks d1, d2 and a front
    And each of the desks is dead
    When a caller <request>
    Then the caller gets 503 and a retry time within 0.5 s
    And each desk was tried once

    Examples:
      | request       |
      | buys          |
      | looks up once |

  Scenario: an entry with another server's address is not used
    Given desks d1, d2 and a front
    And the entry of a dead desk d0 has the address of d1
    When a caller buys 6 times
    Then each purchase was answered and ran once

  Scenario: a run is cancelled when its caller disconnects
    Given engines e1 in north-1, and a front
    When a caller disconnects from its stream after 0.3 s
    Then all runs are abandoned 0.5 s later

  Scenario: a stopping front completes its streams and refuses new ones
    Given engines e1 in north-1, and a front
    When the front gets SIGTERM during a stream of 40 events
    Then the caller has received events 1 to 40 and a complete answer
    And a stream requested meanwhile was refused as not run
    And a call requested meanwhile was answered, on a connection to be closed
    And a call that may outlast the grace time was refused as not run

  Scenario: a key that was taken away while the front could not see it
    Given desks d1, d2 and a front behind a link to the store
    When the link is cut and the key revoked
    And 5 s pass
    And a caller buys
    Then the caller gets 503
    And the purchase ran 0 times
    When the link is restored
    Then a purchase is soon answered with 401

  Scenario: a front that was suspended during a change refuses a revoked key
    Given desks d1, d2 and a front behind a link to the store
    When the front is suspended, the key revoked, and the front resumed after 5 s
    And a caller buys at once
    Then the caller does not get 200
    And the purchase ran 0 times

  Scenario: a front without a configuration refuses requests
    Given a front whose store is unreachable
    When a caller buys
    Then the caller gets 503

  Scenario: the table is read again after the store has dropped its history
    Given desks d1, d2 and a front
    When the store drops its history and the key is revoked
    Then a purchase is soon answered with 401

  Scenario: unreadable entries are ignored
    Given desks d1, d2 and a front
    When invalid entries are written to the table
    And a caller buys 6 times
    Then each purchase was answered and ran once

  Scenario Outline: changed settings are applied without a restart
    Given desks d1, d2 and a front behind a link to the store
    When the settings say that a revoked key works for 2 s at most, <how>
    And the link is cut and the key revoked
    And 2.2 s pass
    And a caller buys
    Then the caller gets 503
    And the purchase ran 0 times

    Examples:
      | how              |
      | with a signal    |
      | without a signal |

  Scenario: invalid settings are not applied
    Given desks d1, d2 and a front
    When the settings become invalid and the front gets a signal
    And a caller buys
    Then the caller gets 200

  Scenario: reserved headers of a caller are not forwarded
    Given engines e1 in north-1, and a front
    When a caller sends reserved headers with its stream
    Then none of them reached the engine

  Scenario Outline: invalid requests are refused and not forwarded
    Given desks d1, d2 and a front
    When a caller sends an invalid request: <what>
    Then it gets <status> and nothing ran
    And a purchase is answered with 200

    Examples:
      | what                            | status |
      | two lengths                     | 400    |
      | a length and chunked coding     | 400    |
      | a chunk without a valid size    | 400    |
      | an unknown key                  | 401    |
      | no key                          | 401    |
      | an unknown path                 | 404    |
      | a body that is too large        | 413    |
      | a deadline that is not a number | 400    |
      | a deadline of nan               | 400    |
      | a deadline of inf               | 400    |
      | a negative deadline             | 400    |
      | a negative number of tokens     | 400    |
      | a negative event number         | 400    |
