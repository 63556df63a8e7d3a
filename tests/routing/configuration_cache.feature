Feature: How long a host may trust its configuration
  Scenario: keys are accepted only for a bounded time after the store was heard
    Given a host that may serve a revoked key for 5 s
    When the store answers a call sent at 10.0 s at 10.01 s with its clock at 3.0 s
    Then keys are accepted at 14.5 s
    And keys are refused at 14.7 s

  Scenario: a long poll counts from the moment of its answer
    Given a host that may serve a revoked key for 5 s
    When the store answers a call sent at 10.0 s at 10.01 s with its clock at 3.0 s
    And the store answers a call sent at 10.1 s at 12.11 s with its clock at 5.1 s
    Then the knowledge is from 12.11 s

  Scenario: an answer that was long on its way counts from when it was made
    Given a host that may serve a revoked key for 5 s
    When the store answers a call sent at 10.0 s at 10.01 s with its clock at 3.0 s
    And the store answers a call sent at 10.1 s at 14.0 s with its clock at 5.0 s
    Then the knowledge is from 12.01 s

  Scenario: a store whose clock started anew is believed from the call's start
    Given a host that may serve a revoked key for 5 s
    When the store answers a call sent at 10.0 s at 10.01 s with its clock at 3000 s
    And the store answers a call sent at 20.0 s at 21.0 s with its clock at 1.0 s
    Then the knowledge is from 20.0 s

  Scenario: the configuration never goes back
    Given a host that may serve a revoked key for 5 s
    When versions 3 7 5 7 are offered
    Then version 7 is in force and 2 were new

  Scenario: without any configuration no key is accepted
    Given a host that may serve a revoked key for 5 s
    Then keys are refused at 0.1 s

  Scenario: an answer that another host passed on is as old as the store's clock in it
    Given a host that may serve a revoked key for 5 s
    When the store answers a call sent at 10.0 s at 10.01 s with its clock at 3.0 s
    And a host passes on at 14.0 s what the store's clock said at 4.5 s
    Then the knowledge is from 11.51 s

  Scenario: an answer that another host passed on tells nothing of the clock
    Given a host that may serve a revoked key for 5 s
    When a host passes on at 14.0 s what the store's clock said at 4.5 s
    Then keys are refused at 14.1 s
    When the store answers a call sent at 20.0 s at 20.01 s with its clock at 13.0 s
    And a host passes on at 21.0 s what the store's clock said at 13.5 s
    Then the knowledge is from 20.51 s
