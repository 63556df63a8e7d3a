Feature: Tokens for a caller whose generation another host owns
  Scenario: a batch that arrives before the caller's connection is not lost
    Given a following caller without a connection yet
    When its owner sends tokens "a b" and then the connection is there
    Then the caller has received "a b"
    And the owner gets the acknowledgement after that

  Scenario: the caller goes on after a batch that arrived early
    Given a following caller without a connection yet
    When its owner sends tokens "a b" and then the connection is there
    And its owner sends tokens "c" after the first batch
    Then the caller has received "a b c"

  Scenario: a caller that accepts nothing is disconnected, so that it reconnects
    Given a following caller without a connection yet
    When its owner sends tokens "a b" and no connection ever comes
    Then the owner is refused
    And the caller's request ends with an error
    And the caller's offset is 0
