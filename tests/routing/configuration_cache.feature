Feature: How long a host may use its configuration without confirmation
  Scenario: keys are accepted only for a bounded time after the store's answer
    Given a host that may accept a revoked key for 5 s
    When a call sent at 10.0 s is answered at 10.01 s with the store clock at 3.0 s
    Then keys are accepted at 14.5 s
    And keys are refused at 14.7 s

  Scenario: the time counts from the answer to a long poll, not from its start
    Given a host that may accept a revoked key for 5 s
    When a call sent at 10.0 s is answered at 10.01 s with the store clock at 3.0 s
    And a call sent at 10.1 s is answered at 12.11 s with the store clock at 5.1 s
    Then the configuration was last known current at 12.1 s

  Scenario: an answer delayed by the network counts from when the store sent it
    Given a host that may accept a revoked key for 5 s
    When a call sent at 10.0 s is answered at 10.01 s with the store clock at 3.0 s
    And a call sent at 10.1 s is answered at 14.0 s with the store clock at 5.0 s
    Then the configuration was last known current at 12.0 s

  Scenario: after a reset of the store's clock the time counts from the start of the call
    Given a host that may accept a revoked key for 5 s
    When a call sent at 10.0 s is answered at 10.01 s with the store clock at 3000 s
    And a call sent at 20.0 s is answered at 21.0 s with the store clock at 1.0 s
    Then the configuration was last known current at 20.0 s

  Scenario: an older version never replaces a newer one
    Given a host that may accept a revoked key for 5 s
    When versions 3 7 5 7 are offered
    Then version 7 is in use and 2 versions were installed

  Scenario: without any configuration no key is accepted
    Given a host that may accept a revoked key for 5 s
    Then keys are refused at 0.1 s

  Scenario: a relayed answer is as old as the store clock in it
    Given a host that may accept a revoked key for 5 s
    When a call sent at 10.0 s is answered at 10.01 s with the store clock at 3.0 s
    And another host relays at 14.0 s an answer with the store clock at 4.5 s
    Then the configuration was last known current at 11.5 s

  Scenario: a relayed answer without the clock of the store does not tell it
    Given a host that may accept a revoked key for 5 s
    When another host relays at 14.0 s an answer with the store clock at 4.5 s
    Then keys are refused at 14.1 s
    When a call sent at 20.0 s is answered at 20.01 s with the store clock at 13.0 s
    And another host relays at 21.0 s an answer with the store clock at 13.5 s
    Then the configuration was last known current at 20.5 s
