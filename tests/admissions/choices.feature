Feature: An entry host finds a backend server
  Scenario Outline: owners are asked in a fixed manner
    Given near backend servers <near> and far ones <far>
    When the owners answer <answers>
    Then the demand goes <way>

    # A question with ? may be queued; x:busy:2 is a refusal with a wait of 2 s.
    Examples:
      | near  | far | answers                                    | way                                 |
      | a b   | -   | a:grant                                    | a, granted                          |
      | a b   | -   | a:overloaded:2 b:grant                     | a b, granted                        |
      | a b   | -   | a:overloaded:2 b:overloaded:1 b:grant      | a b b?, granted                     |
      | a     | -   | a:grant                                    | a?, granted                         |
      | a     | f   | a:overloaded:2                             | a? f?, ...                          |
      | a b   | f g | a:overloaded:2 b:overloaded:9 a:grant      | a b a?, granted                     |
      | a b   | f g | a:overloaded:9 b:overloaded:9 f:grant      | a b f, granted                      |
      | a b   | -   | a:overloaded:9 b:overloaded:8 b:overloaded:8 | a b b?, overloaded                |
      | a b   | -   | a:limit:9 b:limit:8 b:limit:8              | a b b?, limit                       |
      | a     | -   | a:not_owner a:grant                        | a? a?, granted                      |
      | a b   | -   | a:unreachable b:grant                      | a b, granted                        |
      | a b   | -   | a:leaving b:grant                          | a b, granted                        |
      | a b c d | - | a:overloaded:3 b:overloaded:2 c:overloaded:4 b:grant | a b c b?, granted         |

  Scenario: an owner that is never found ends the search before the deadline
    Given near backend servers a and far ones -
    When the owners answer a:not_owner 40 times
    Then the demand ends as unreachable after 31 questions

  Scenario Outline: a late report counts less
    Given a chooser that heard of load <load> for a
    Then <age> s later it takes the load for <seen>

    Examples:
      | load | age | seen |
      | 1.0  | 0   | 1.0  |
      | 1.0  | 2.5 | 0.75 |
      | 0.0  | 2.5 | 0.25 |
      | 1.0  | 9   | 0.5  |

  Scenario: the holder of a prefix is liked unless it is busier
    Given a chooser that heard of load 0.5 for a, 0.4 for b and 0.4 for c
    Then of a, b and c it asks a first for the prefix that a holds
    When it hears of load 1.0 for a
    Then of a, b and c it does not ask a first for that prefix

  Scenario: the cache is known from late events with gaps
    Given cache events of incarnation 1: 1+p 2+q 5-p 6+r
    Then q and r are held, p is not
    When 300 events are lost before 307+s
    Then s are held, q is not
    When incarnation 2 begins with 1+t
    Then t are held, s is not

  Scenario Outline: an outlier is ejected and readmitted slowly
    Given backend servers a to d, each used before
    When a <trouble>
    Then a is not usable for 2 s, then for one request at a time
    And after 4 good requests it is like the others
    And no more than half of them are ever ejected

    Examples:
      | trouble                     |
      | fails 3 times in a row      |
      | answers 5 times slower      |

  Scenario: owners move as little as can be
    Given 500 backend servers and hosts h0 to h9
    Then without h3 only the backend servers of h3 have another owner
    And while h4 leaves it owns none
