Feature: Metrics of many hosts
  Scenario: percentiles over several hosts come from merged histograms
    Given host a with 99 claims of 1 ms
    And host b with 99 claims of 100 ms
    When the hosts' metrics are merged
    Then the merged claim p50 is between 0.9 and 1.2 ms
    And the merged claim p99 is between 99 and 102 ms

  Scenario: the exposition contains histograms and counters
    Given host a with 3 claims of 2 ms
    And host a counted 2 retries for "lookups"
    When the exposition of host a is read
    Then it contains the line "celerywharf_claim_seconds_count 3.0"
    And it contains the line "celerywharf_retries_total{service="lookups"} 2.0"
