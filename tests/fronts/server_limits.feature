Feature: Servers that state a request limit
  Background:
    Given desks d1, d2, d3 in two zones and fronts f1, f2, f3, f4 of these zones

  Scenario Outline: all fronts together keep to the limit of a server
    When d1 states a limit of 4 a second
    And callers send <requests> 40 times a second for 10 s
    Then from 4 s on d1 got at most 29 requests in any 4 s
    And d1 got at least 2 requests a second
    And nearly all requests were served

    Examples:
      | requests  |
      | purchases |
      | lookups   |

  Scenario: all fronts together keep to the limit of an engine
    Given engines d4, d5, d6 in two zones
    When d4 states a limit of 1 a second
    And callers send streams 15 times a second for 10 s
    Then from 4 s on d4 got at most 11 requests in any 4 s
    And nearly all requests were served

  Scenario: requests beyond the limits of all servers are refused at once
    When d1, d2, d3 state a limit of 4 a second
    And callers send purchases 40 times a second for 10 s
    Then from 4 s on d1, d2, d3 got at most 29 requests in any 4 s
    And together they got at least 6 requests a second
    And each request was served or refused as not run within 0.5 s

  Scenario: the front that grants a limit is killed
    When d1 states a limit of 4 a second
    And callers send purchases 40 times a second for 3 s
    And the reader of the zone of d1 is killed
    And callers send purchases 40 times a second for 10 s
    Then from 4 s on d1 got at most 29 requests in any 4 s
    And d1 got at least 1 requests a second
    And nearly all requests were served

  Scenario: a limit ends when a server states it no more
    When d1 states a limit of 4 a second
    And callers send purchases 40 times a second for 6 s
    And d1 states no limit
    And callers send purchases 40 times a second for 6 s
    Then d1 got more than 6 requests a second in the last 3 s
