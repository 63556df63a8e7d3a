Feature: Random failures do not damage any generation
  `python -m bench failures --seed N` is the long form of this test.

  Scenario Outline: a short run of one seed
    Given the failures of seed <seed> for 24 generations
    When the failures are injected
    Then no token is lost, repeated or mixed and every caller got an end
    And the same seed gives the same failures

    Examples:
      | seed |
      | 4    |
