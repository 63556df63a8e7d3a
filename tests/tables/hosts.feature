Feature: The shared table on real hosts
  Background:
    Given hosts a and b in zone z1, and c in zone z2, with one share in force

  Scenario: two operators race on one row through two hosts
    When operators set the limit to 20 through a and to 30 through b at once
    Then one is accepted and the other is refused with the winning row
    And all hosts have the limit of the winner within 3 s

  Scenario: the answer to a commit is lost
    When the platform loses the answer to the next commit
    And an operator sets the limit to 40 through a
    Then the change is accepted and is in the history once
    And all hosts have limit 40 within 3 s

  Scenario: a host is paused through three changes
    When c is paused
    And an operator sets the limit to 1 through a
    And an operator sets the limit to 2 through b
    And an operator sets the limit to 3 through a
    And c is resumed
    Then all hosts have limit 3 within 3 s

  Scenario: a host restarts while the platform is down
    When an operator sets the limit to 50 through a
    And the platform is down
    And b is killed and started again
    Then all hosts have limit 50 within 3 s
    And an operator's change through b is refused as not run

  Scenario: a host that reaches neither platform nor peers is not ready
    When the platform is down
    And a host is started without peers
    Then its health check answers 503 and says that the table has not been read
    And it asks a caller to retry instead of refusing the key

  Scenario: a zone is cut off and healed
    When an operator sets the limit to 60 through a
    And all hosts have limit 60 within 3 s
    And zone z2 is cut off
    And an operator sets the limit to 70 through a
    Then c has limit 60
    And an operator's change through c is refused as not run
    When connections between hosts are reset and zone z2 is reconnected
    Then all hosts have limit 70 within 3 s

  Scenario: a peer offers an older revision
    When an operator sets the limit to 80 through a
    And all hosts have limit 80 within 3 s
    And a peer pushes its first revision with limit 999 to a
    Then a keeps limit 80 for half a second

  Scenario: the command line works through any host
    When the sheet of shares is exported, its limit set to 90 and imported
    Then all hosts have limit 90 within 3 s
    When the first sheet is imported again
    Then the command ends with exit code 5 and shows limit 90
    When a sheet with one valid and one invalid row is imported
    Then the command ends with exit code 1 and shows row 2, column weight
    And all hosts have limit 90 within 3 s
    When an account is created through a host that does not exist
    Then the command ends with exit code 4 and shows one line

  Scenario: operators create, stop and remove from the command line
    When an account, a service and a backend server are created
    Then the printed key is accepted by all hosts within 3 s
    And the platform stores only the digest of the key
    When the backend server is stopped
    Then all hosts have its state as leaving within 3 s
    When the backend server, the service and the account are removed
    Then the printed key is refused by all hosts within 3 s
    When c is stopped by name through a
    Then the process of c exits
