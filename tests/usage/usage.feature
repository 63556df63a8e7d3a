Feature: Usage by client account
  Scenario: idle time is split by the table's weights
    Given the weights "e1:lake=3, e1:mill=1, *:mill=1"
    When e1 is idle for 80 s and e2 is idle for 10 s
    And lake uses e1 for 5 s with 100 tokens
    Then the costs are "lake 5+60 s 100 tokens, mill 0+30 s 0 tokens"

  Scenario Outline: an outage of the object store loses and repeats nothing
    Given an object store that <fault> the first 3 times
    When usage is added before and after each of 5 flushes
    Then the stored sum equals what was added

    Examples:
      | fault                      |
      | refuses                    |
      | stores but loses answers   |

  Scenario: idle time without a share row stays unassigned
    Given the weights ""
    When e1 is idle for 8 s and e2 is idle for 0 s
    Then the costs are " 0+8 s 0 tokens"

  Scenario: the sums match the engine's own record
    Given an engine, two hosts and an account with a weight
    When host-a runs 5 generations of 20 tokens and is stopped
    Then host-b reports 100 tokens for the account, as the engine's own record
    And its engine time covers the engine's 5 runs
    And idle time is charged to the account
