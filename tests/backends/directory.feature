Feature: Directory of the known backend servers
  Scenario: a draining server stays excluded when an older entry arrives late
    Given entries: a ready 1 born 5, a draining 2 born 5
    When an entry arrives: a ready 1 born 5
    Then the usable servers are none
    When an entry arrives: a ready 7 born 5
    Then the usable servers are none

  Scenario: a new incarnation under the same name is usable
    Given entries: a draining 9 born 5
    When an entry arrives: a ready 1 born 6
    Then the usable servers are a

  Scenario: an entry removed while the store is available is dropped immediately
    Given entries: a ready 1 born 5, b ready 1 born 5
    When the entry of a is removed at 10 s
    Then the usable servers are b

  Scenario: entries that expire during an outage are kept until two seconds after it
    Given entries: a ready 1 born 5, b ready 1 born 5
    When the store becomes unavailable
    And the entry of a is removed at 10 s
    And the entry of b is removed at 10 s
    Then the usable servers are a b
    When the store is available again at 12 s
    And an entry arrives: a ready 2 born 5
    And missing entries are expired at 13.9 s
    Then the usable servers are a b
    When missing entries are expired at 14.1 s
    Then the usable servers are a

  Scenario: a snapshot of the table after an outage drops no server immediately
    Given entries: a ready 1 born 5, b ready 1 born 5
    When the store becomes unavailable
    And the store is available again at 12 s
    And a snapshot at 12 s contains only a
    Then the usable servers are a b
    When missing entries are expired at 14.1 s
    Then the usable servers are a

  Scenario: an incarnation whose address another server uses stays excluded
    Given entries: a ready 1 born 5
    When another server answers at the address of a
    Then the usable servers are none
    When an entry arrives: a ready 2 born 5
    Then the usable servers are none

  Scenario: a server that changes its service is only listed under the new one
    Given entries: a ready 1 born 5
    When the entry of a names another service
    Then the usable servers are none

  Scenario: the number of remembered departures is bounded
    Given entries: a draining 1 born 5
    When 10000 other servers appear and depart
    Then 10000 departures are remembered
