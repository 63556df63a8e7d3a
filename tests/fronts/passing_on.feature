Feature: Requests that are passed on to another front
  Background:
    Given a platform with 3 engines and 3 desks in two zones
    And fronts f1, f2 in north-1 and f3, f4 in north-2

  Scenario: a request arrives as its caller sent it, without the key
    When f1 loses all servers, whose connections are refused
    And a caller sends 12 lookups with a query, a header and a body to f1
    Then 12 of them are served
    And each ran once, as it was sent
    When a caller sends 6 lookups without a body to f1
    Then 6 of them are served
    And each ran once, without a body

  Scenario: callers cannot pose as a front
    When a caller sends a lookup with the header of a passed-on request to f2
    Then 1 of them is served
    And it ran once
    When a caller sends a lookup to the address of f2 for other fronts
    Then it is closed without an answer
    And it did not run

  Scenario: all fronts are cut off
    When f1, f2, f3, f4 lose all servers, whose connections are refused
    And a caller sends 5 purchases to each front
    Then all are refused within 1 s and none ran

  Scenario Outline: links between fronts break while requests are passed on
    When f1 loses all servers, whose connections are refused
    And its links to the other fronts <break> again and again for 5 s
    And callers send purchases, lookups and streams to f1 meanwhile
    Then no purchase ran twice, and none that was refused ran
    And all streams have their events in order, each once
    And requests are served at times

    Examples:
      | break  |
      | refuse |
      | hang   |

  Scenario: a caller that leaves ends the work of the engine
    When f1 loses all servers, whose connections are refused
    And a caller sends a stream of 400 events to f1 and leaves after 1 s
    Then no engine works on it 0.5 s later
    When desks take 3 s for a call
    And a caller sends a purchase to f1 and leaves after 1 s
    Then no desk works on it 0.5 s later

  Scenario Outline: the front that serves a passed-on stream is lost
    When f1 loses all servers, whose connections are refused
    And callers send 6 streams of 150 events to f1
    And f2 <is lost> 1 s later
    Then all streams are complete

    Examples:
      | is lost                |
      | is killed              |
      | is suspended           |
      | is stopped by a signal |

  Scenario: a path that is restored is used again without a caller's try
    When f1 loses all servers, whose connections hang
    And a caller sends 9 lookups to f1
    And f1 has its paths back for 2 s
    And a caller sends 9 lookups to f1
    Then 9 of them are served
    And f1 has passed none of these on

  Scenario: the store is away
    When the store is away
    And f1 loses all servers, whose connections are refused
    And a caller sends 9 lookups to f1
    Then 9 of them are served

  Scenario: fronts that take requests in are cut off from the store with them
    When f1, f2 lose all servers, whose connections hang
    And callers send 40 streams of 10 events to f1, f2
    Then all streams are complete within 4 s

  Scenario: a server says through another front that it leaves
    When f1 loses all servers, whose connections are refused
    And desk-0 says in its answers that it leaves
    And a caller sends 12 lookups with a query, a header and a body to f1
    And desk-0 has answered f1 through another front
    And f1 has its paths back for 2 s
    And a caller sends 30 lookups to f1
    Then 30 of them are served
    And desk-0 got none of them
