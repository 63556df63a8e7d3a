Feature: Calls of a zone's fronts while the store does not answer
  Scenario Outline: many fronts call a store that is down only seldom
    Given <hosts> fronts whose reader <reader>
    When the store is down for 9 s
    Then they make at most <calls> calls to it
    And after its return one of them calls it within <span> s

    Examples:
      | hosts | reader         | calls | span |
      | 3     | answers        | 60    | 0.5  |
      | 35    | answers        | 200   | 0.6  |
      | 35    | does not       | 350   | 0.5  |
      | 100   | answers        | 560   | 0.5  |
      | 100   | does not       | 1000  | 0.5  |

  Scenario: a call that is answered ends the waiting
    Given 35 fronts whose reader does not
    When the store is down for 9 s
    And a front is answered
    Then its next call is due at once
