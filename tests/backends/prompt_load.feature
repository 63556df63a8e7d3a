Feature: Latency when many fronts place streams on the same engines
  Scenario Outline: first events arrive in time with few probes
    Given 59 fronts, 60 engines of which <slow> are slow and <rate> streams a second
    When streams are placed by the product's policy
    Then the 99th percentile of the time to the first event is at most 4.5 s
    And a stream takes at most <probes> probes

    Examples:
      | rate | slow | probes |
      | 18   | 0    | 3      |
      | 30   | 0    | 8      |
      | 18   | 12   | 3      |

  Scenario Outline: the 99th percentile is lower than with simpler policies
    Given 59 fronts, 60 engines of which 0 are slow and 30 streams a second
    When streams are placed by the product's policy
    Then the 99th percentile is lower than with <policy>

    Examples:
      | policy      |
      | own_counts  |
      | round_robin |
