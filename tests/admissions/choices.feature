Feature: An entry host selects a backend server
  Scenario Outline: grants are requested from owners in a fixed order
    Given backend servers <same> in the region and <other> in other regions
    When the owners answer <answers>
    Then the requests are <requests>

    # b? is a request that may be queued; b:overloaded:2 is a refusal with an
    # estimated wait of 2 s.
    Examples:
      | same    | other | answers                                              | requests           |
      | a b     | -     | a:grant                                              | a, granted         |
      | a b     | -     | a:overloaded:2 b:grant                               | a b, granted       |
      | a b     | -     | a:overloaded:2 b:overloaded:1 b:grant                | a b b?, granted    |
      | a       | -     | a:grant                                              | a?, granted        |
      | a       | f     | a:overloaded:2                                       | a? f?, ...         |
      | a b     | f g   | a:overloaded:2 b:overloaded:9 a:grant                | a b a?, granted    |
      | a b     | f g   | a:overloaded:9 b:overloaded:9 f:grant                | a b f, granted     |
      | a b     | -     | a:overloaded:9 b:overloaded:8 b:overloaded:8         | a b b?, overloaded |
      | a b     | -     | a:limit:9 b:limit:8 b:limit:8                        | a b b?, limit      |
      | a       | -     | a:not_owner a:grant                                  | a? a?, granted     |
      | a b     | -     | a:unreachable b:grant                                | a b, granted       |
      | a b     | -     | a:leaving b:grant                                    | a b, granted       |
      | a b c d | -     | a:overloaded:3 b:overloaded:2 c:overloaded:4 b:grant | a b c b?, granted  |

  Scenario: a search ends before the deadline if no host is the owner
    Given backend servers a in the region and - in other regions
    When the owners answer a:not_owner 40 times
    Then the search ends as unreachable after 31 requests

  Scenario Outline: the weight of a load summary falls with its age
    Given a selector that received load <load> for a
    Then <age> s later it estimates a load of <estimate>

    Examples:
      | load | age | estimate |
      | 1.0  | 0   | 1.0      |
      | 1.0  | 2.5 | 0.75     |
      | 0.0  | 2.5 | 0.25     |
      | 1.0  | 9   | 0.5      |

  Scenario: the holder of a prefix is preferred unless it is much busier
    Given a selector that received load 0.5 for a, 0.4 for b and 0.4 for c
    Then of a, b and c it ranks a first for the prefix that a holds
    When it receives load 1.0 for a
    Then of a, b and c it does not rank a first for that prefix

  Scenario: the prefix index tolerates lost cache events up to a limit
    Given cache events of incarnation 1: 1+p 2+q 5-p 6+r
    Then the index holds q and r, not p
    When 300 events are lost before 307+s
    Then the index holds s, not q
    When incarnation 2 begins with 1+t
    Then the index holds t, not s

  Scenario Outline: an outlier is ejected and readmitted slowly
    Given backend servers a to d, each used before
    When a <failure>
    Then a is not usable for 2 s, then for one request at a time
    And after 4 successful requests it is used without a limit
    And no more than half of them are ever ejected

    Examples:
      | failure                |
      | fails 3 times in a row |
      | answers 5 times slower |

  Scenario: removing a host changes only the owners of its backend servers
    Given 500 backend servers and hosts h0 to h9
    Then without h3 only the backend servers of h3 have another owner
    And while h4 is leaving it owns none
