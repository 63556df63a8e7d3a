Feature: Which backend servers there are
  Scenario: a server that is leaving gets no new work, whatever older entries say
    Given entries seen: a ready 1 born 5, a draining 2 born 5
    When an entry is seen: a ready 1 born 5
    Then the usable servers are none
    When an entry is seen: a ready 7 born 5
    Then the usable servers are none

  Scenario: a server that starts again under its name is a new one
    Given entries seen: a draining 9 born 5
    When an entry is seen: a ready 1 born 6
    Then the usable servers are a

  Scenario: an entry that vanishes while the store is well is dropped at once
    Given entries seen: a ready 1 born 5, b ready 1 born 5
    When the entry of a vanishes at 10 s
    Then the usable servers are b

  Scenario: entries that lapse in an outage are kept until two seconds after it
    Given entries seen: a ready 1 born 5, b ready 1 born 5
    When the store is lost
    And the entry of a vanishes at 10 s
    And the entry of b vanishes at 10 s
    Then the usable servers are a b
    When the store is back at 12 s
    And an entry is seen: a ready 2 born 5
    And 13.9 s have passed
    Then the usable servers are a b
    When 14.1 s have passed
    Then the usable servers are a

  Scenario: a reading of the whole table after an outage drops nothing at once
    Given entries seen: a ready 1 born 5, b ready 1 born 5
    When the store is lost
    And the store is back at 12 s
    And the table is read at 12 s with only a
    Then the usable servers are a b
    When 14.1 s have passed
    Then the usable servers are a

  Scenario: an incarnation whose address another one has is not used again
    Given entries seen: a ready 1 born 5
    When another server answers at the address of a
    Then the usable servers are none
    When an entry is seen: a ready 2 born 5
    Then the usable servers are none

  Scenario: a server that moves to another service serves only that
    Given entries seen: a ready 1 born 5
    When the entry of a names another service
    Then the usable servers are none

  Scenario: marks of servers that left are not kept for ever
    Given entries seen: a draining 1 born 5
    When 10000 other servers come and leave
    Then 10000 marks are kept
