Feature: Random failures leave every generation whole
  The long form is `python -m bench failures --seed N`.

  Scenario Outline: a short run of one seed
    Given the failures of seed <seed> for 24 generations
    When they strike
    Then no token is lost, repeated or mixed and every caller got an end
    And the seed gives the same failures again

    Examples:
      | seed |
      | 4    |
