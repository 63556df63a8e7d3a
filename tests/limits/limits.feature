Feature: Request limits that servers state
  Scenario Outline: a pool grants the stated rate
    Given a server with a limit of <limit> a second
    When it is asked for <per_s> times a second for 60 s
    Then between <least> and <most> requests are granted
    And at most <window> of them within 4 s

    Examples:
      | limit | per_s | least | most | window |
      | 4     | 2     | 119   | 120  | 9      |
      | 4     | 40    | 200   | 242  | 18     |
      | 0.5   | 40    | 20    | 32   | 4      |
      | 0     | 40    | 4     | 8    | 3      |

  Scenario: those who are refused are told different times
    Given a server with a limit of 10 a second
    When 5 hosts ask at once
    Then the waits of those refused differ by at least 0.05 s

  Scenario: a stream in progress may run ahead of the limit
    Given a server with a limit of 1 a second
    When 3 hosts ask at once
    Then a stream in progress is granted and a new request is not

  Scenario Outline: what an answer says of the limit
    Given an answer with the limit "<first>" at 10 s
    When a request sent at <sent> s is answered with the limit "<second>" at 12 s
    Then the limit at <now> s is "<limit>"

    Examples:
      | first | sent | second | now | limit |
      | 4     | 11   |        | 13  |       |
      | 4     | 9    |        | 13  | 4     |
      | 4     | 11   | 6.5    | 13  | 6.5   |
      | 4     | 11   | many   | 13  | 4     |
      | 4     | 11   | nan    | 13  | 4     |
      | 4     | 11   | inf    | 13  | 4     |
      | 4     | 11   | -1     | 13  | 4     |
      | 4     | 11   | 0      | 13  | 0     |
      |       | 11   | 2      | 13  | 2     |
      | 4     | 9    |        | 41  |       |

  Scenario: a limit that another host tells later does not undo its end
    Given an answer with the limit "4" at 10 s
    When a request sent at 11 s is answered with the limit "" at 12 s
    And another host tells of the limit 4 stated at 11 s
    Then the limit at 13 s is ""

  Scenario: any number of servers takes bounded memory
    When 20000 servers state limits and are asked for
    Then fewer than 1100 statements and waits are kept
    And fewer than 12100 buckets are kept

  Scenario Outline: hosts of all zones together keep to a limit
    Given <hosts> hosts in <zones> zones and a server with a limit of <limit> a second
    When they have 50 requests a second for it, <skew>, and <fault>
    Then the server gets at most one and a half times its limit and 5 in any 4 s
    And at least half of its limit while it can be reached

    Examples:
      | hosts | zones | limit | skew          | fault                          |
      | 1     | 1     | 4     | spread evenly | nothing fails                  |
      | 7     | 3     | 4.6   | spread evenly | nothing fails                  |
      | 7     | 3     | 4.6   | all in one    | nothing fails                  |
      | 60    | 6     | 0.7   | spread evenly | nothing fails                  |
      | 500   | 10    | 20    | spread evenly | nothing fails                  |
      | 500   | 10    | 3     | all in one    | nothing fails                  |
      | 60    | 6     | 4     | spread evenly | the granting host is replaced  |
      | 60    | 6     | 4     | spread evenly | all zones are cut from it      |
      | 500   | 10    | 4     | spread evenly | all hosts lose their readers   |
