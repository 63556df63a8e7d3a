Feature: Who reads the store for a zone
  Scenario: the first front of a zone names itself
    Given a front f1
    When it finds no row at 1 s
    Then it takes over
    And it polls for others at 2 s

  Scenario: a front asks the reader that the row names
    Given a front f1
    When it finds the row of f2 with version 5 at 1 s
    Then it asks f2
    And it does not look at the row again

  Scenario: a reader that does not answer is replaced
    Given a front f1
    When it finds the row of f2 with version 5 at 1 s
    And f2 does not answer at 2 s
    Then it reads for itself
    And it looks at the row again before 2.5 s
    When it finds the row of f2 with version 5 at 2.4 s
    Then it takes over

  Scenario: a front that has lost its reader polls as one that others may ask
    Given a front f1
    When it finds the row of f2 with version 5 at 1 s
    Then it does not poll for others at 10 s
    When f2 does not answer at 10 s
    Then it polls for others at 10.1 s

  Scenario: another front was faster to replace a reader
    Given a front f1
    When it finds the row of f2 with version 5 at 1 s
    And f2 does not answer at 2 s
    And it finds the row of f3 with version 6 at 2.4 s
    Then it asks f3

  Scenario: late news of an earlier reader changes nothing
    Given a front f1
    When it finds the row of f2 with version 5 at 1 s
    And f2 does not answer at 2 s
    And it finds the row of f3 with version 6 at 2.4 s
    And f2 is said not to answer at 2.5 s
    Then it asks f3

  Scenario: a row written by an earlier process of the same host is replaced
    Given a front f1
    When it finds the row of an earlier f1 with version 5 at 1 s
    Then it takes over

  Scenario: a reader that is asked goes on
    Given a front f1
    When it finds its own row with version 5 at 1 s
    And others ask it until 30 s
    Then it polls for others at 31 s
    And it need not look at the row at 31 s

  Scenario: a reader that nobody asks looks who is asked
    Given a front f1
    When it finds its own row with version 5 at 1 s
    Then it looks at the row again before 12 s
    And it does not poll for others at 12 s
