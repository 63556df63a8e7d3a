Feature: Requests on the users' platform, with real processes
  Background:
    Given a platform

  Scenario: a stream reaches its caller whole, in order, under its key
    Given engines e1 in north-1, and a front
    When a caller asks for a stream of 20 events
    Then the caller has events 1 to 20 and a whole answer
    And exactly 1 run began, for account lakeshore, without the key

  Scenario: an engine that breaks its connection is followed by one with a copy
    Given engines e1 in north-1, e2 in north-2, and a front
    And e1 breaks its streams after 8 events
    When a caller asks for a stream of 20 events
    Then the caller has events 1 to 20 and a whole answer
    And e2 went on from a copy

  Scenario: an engine that falls silent is left and stops working
    Given engines e1 in north-1, e2 in north-2, and a front
    And e1 sends nothing of its streams after 6 events
    When a caller asks for a stream of 20 events
    Then the caller has events 1 to 20 and a whole answer
    And no two runs of a request worked at the same time for 0.4 s

  Scenario: an engine that is killed before its first event costs nothing
    Given engines e1 in north-1, e2 in north-2, and a front
    And e1 needs 3000 ms for a prompt
    When a caller asks for a stream of 10 events and e1 is killed after 0.5 s
    Then the caller has events 1 to 10 and a whole answer

  Scenario Outline: a purchase runs once at most, whatever its answer
    Given desks d1, d2 and a front
    And both desks <fault>
    When a caller buys
    Then the caller gets <status>
    And the purchase ran <runs> times

    Examples:
      | fault                    | status | runs |
      | do well                  | 200    | 1    |
      | cut the connection       | 502    | 1    |
      | answer for another       | 502    | 1    |
      | answer without signature | 502    | 1    |
      | encode their answers     | 502    | 1    |
      | shorten their answers    | 502    | 1    |
      | answer twice             | 200    | 1    |
      | fail                     | 500    | 1    |
      | are full                 | 503    | 0    |

  Scenario: a lookup that fails at one server is answered by another
    Given desks d1, d2 and a front
    And desk d1 cuts its connections
    When a caller looks up 10 times
    Then each lookup was answered with its own answer

  Scenario: a full service says when to come back
    Given desks d1, d2 and a front
    And both desks are full
    When a caller buys
    Then the answer says when to come back

  Scenario Outline: a service whose servers are all dead is told of at once
    Given desks d1, d2 and a front
    And each of the desks is dead
    When a caller <asks>
    Then the caller is told within 0.5 s that it did not run and when to come back
    And each desk was tried once

    Examples:
      | asks           |
      | buys           |
      | looks up once  |

  Scenario: an address that another server took is not believed
    Given desks d1, d2 and a front
    And the entry of a dead desk d0 names the address of d1
    When a caller buys 6 times
    Then each purchase was answered and ran once

  Scenario: a caller that leaves stops its run
    Given engines e1 in north-1, and a front
    When a caller leaves its stream after 0.3 s
    Then no run works any more 0.5 s later

  Scenario: a leaving front finishes its streams and refuses new ones
    Given engines e1 in north-1, and a front
    When the front gets SIGTERM during a stream of 40 events
    Then the caller has events 1 to 40 and a whole answer
    And a stream asked for meanwhile was refused as not run
    And a call asked for meanwhile was answered, on a connection to be closed

  Scenario: a key that was taken away while the front could not see it
    Given desks d1, d2 and a front behind a link to the store
    When the link is cut and the key taken away
    And 5 s pass
    And a caller buys
    Then the caller gets 503
    And the purchase ran 0 times
    When the link is healed
    Then a caller who buys soon gets 401

  Scenario: a front that was stopped over a change wakes and knows its age
    Given desks d1, d2 and a front behind a link to the store
    When the front is stopped, the key taken away, and the front woken after 5 s
    And a caller buys at once
    Then the caller does not get 200
    And the purchase ran 0 times

  Scenario: a front that knows no configuration says so
    Given a front whose store is away
    When a caller buys
    Then the caller gets 503

  Scenario: a history that was dropped is read anew
    Given desks d1, d2 and a front
    When the store drops its history and takes the key away
    Then a caller who buys soon gets 401

  Scenario: entries that cannot be read name nobody
    Given desks d1, d2 and a front
    When entries of other writers appear
    And a caller buys 6 times
    Then each purchase was answered and ran once

  Scenario Outline: settings that change are taken over while requests run
    Given desks d1, d2 and a front behind a link to the store
    When the settings say that a revoked key works for 2 s at most, <how>
    And the link is cut and the key taken away
    And 2.2 s pass
    And a caller buys
    Then the caller gets 503
    And the purchase ran 0 times

    Examples:
      | how              |
      | told by a signal |
      | without a signal |

  Scenario: wrong settings are not taken over
    Given desks d1, d2 and a front
    When the settings become wrong, told by a signal
    And a caller buys
    Then the caller gets 200

  Scenario: a caller cannot set what only the system may set
    Given engines e1 in north-1, and a front
    When a caller sends headers of the system with its stream
    Then none of them reached the engine

  Scenario Outline: bad input reaches nobody
    Given desks d1, d2 and a front
    When a caller sends bad input: <what>
    Then it gets <status> and nothing ran
    And a caller who buys gets 200

    Examples:
      | what                        | status |
      | two lengths                 | 400    |
      | a length and chunks         | 400    |
      | a chunk of no size          | 400    |
      | an unknown key              | 401    |
      | no key                      | 401    |
      | an unknown path             | 404    |
      | a body that is too large    | 413    |
      | a deadline that is no number | 400   |
