Feature: What callers get when many fronts place streams on the same engines
  Scenario Outline: first events come in time, for few probes
    Given 59 fronts, 60 engines of which <slow> are slow and <rate> streams a second
    When streams are placed as the product does
    Then one in a hundred waits longer than 4.5 s for its first event at most
    And a stream costs <probes> probes at most

    Examples:
      | rate | slow | probes |
      | 18   | 0    | 3      |
      | 30   | 0    | 8      |
      | 18   | 12   | 3      |

  Scenario Outline: the worst hundredth waits less than under simpler policies
    Given 59 fronts, 60 engines of which 0 are slow and 30 streams a second
    When streams are placed as the product does
    Then the worst hundredth waits less than with <policy>

    Examples:
      | policy      |
      | own_counts  |
      | round_robin |
