Feature: Expired claims leave the platform's table
  Scenario: only rows that are expired and unchanged are removed
    Given a platform with claims that expired, that did not, and of another part
    When a host sweeps the part
    Then only the expired claim is gone
