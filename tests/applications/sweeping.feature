Feature: Expired claims are removed from the platform's table
  Scenario: only rows that are expired and unchanged are removed
    Given expired and unexpired claims, some under another key prefix
    When a host sweeps one prefix
    Then only the expired claim under the prefix is removed
