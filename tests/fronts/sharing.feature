Feature: Fronts of a zone that share one reader of the store
  Background:
    Given a platform with desks d1, d2 and fronts f1, f2, f3 that share

  Scenario: one front reads the store for the others
    Then only the reader makes calls to the store in 3 s
    And the other fronts read tables in that time

  Scenario: a change reaches the fronts that use the reader
    When the key is revoked
    Then a purchase at each other front is soon answered with 401

  Scenario Outline: a reader that fails is replaced
    When the reader <fails>
    And the key is revoked
    Then a purchase at each other front is soon answered with 401
    And one of the other fronts has taken over

    Examples:
      | fails                   |
      | is killed               |
      | is suspended            |
      | loses the store         |
      | is refused by the store |

  Scenario: a front that stops does not take its reader for lost
    When another front is stopped by a signal
    Then its log does not report a lost reader

  Scenario: fronts that cannot reach the store stop accepting keys
    When the store is cut off from all fronts
    And the key is revoked
    And 5 s pass
    Then a purchase at each other front is refused and does not run
    When the store is reachable again
    Then a purchase at each other front is soon answered with 401

  Scenario: a reader that is resumed does not spread outdated tables
    When the reader is suspended
    And the key is revoked
    Then a purchase at each other front is soon answered with 401
    When 5 s pass
    And the reader is resumed
    Then no purchase at any front is answered with 200

  Scenario: a large configuration arrives over slow links
    When the links to the store carry 500 kB a second each
    And the configuration grows by 1700 routes
    Then each front serves the last of its routes in time
    And the configuration left the store for the reader only
    And the other fronts got it compressed
    And no purchase at any front was refused meanwhile
