Feature: Fronts of a zone that share one reader of the store
  Background:
    Given a platform with desks d1, d2 and fronts f1, f2, f3 that share

  Scenario: one front reads the store for the others
    Then only the reader makes calls to the store in 3 s
    And the other fronts read tables in that time

  Scenario: a change reaches the fronts that do not read the store
    When the key is taken away
    Then a caller who buys at each other front soon gets 401

  Scenario Outline: a reader that fails is replaced
    When the reader <fails>
    And the key is taken away
    Then a caller who buys at each other front soon gets 401
    And one of the other fronts has taken over

    Examples:
      | fails                  |
      | is killed              |
      | is stopped             |
      | loses the store        |
      | is refused by the store |

  Scenario: a front that stops does not take its reader for lost
    When another front is stopped by a signal
    Then its log does not say that its reader is lost

  Scenario: fronts that cannot reach the store know how old their tables are
    When the store is cut off from all fronts
    And the key is taken away
    And 5 s pass
    Then a caller who buys at each other front is refused and nothing runs
    When the store is back
    Then a caller who buys at each other front soon gets 401

  Scenario: a reader that wakes up brings nothing old
    When the reader is stopped
    And the key is taken away
    Then a caller who buys at each other front soon gets 401
    When 5 s pass
    And the reader wakes up
    Then a caller who buys at any front does not get 200
