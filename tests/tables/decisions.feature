Feature: Decisions about the shared table
  Scenario Outline: a recorded change ends as stated
    When the trace <trace> is replayed for host <host>
    Then the change is <outcome>

    Examples:
      | trace                  | host | outcome                       |
      | two_operators_one_row  | a    | accepted at 3 after 1 commits |
      | two_operators_one_row  | b    | row_conflict after 1 commits  |
      | two_operators_two_rows | a    | accepted at 3 after 1 commits |
      | two_operators_two_rows | b    | accepted at 4 after 2 commits |
      | answer_lost            | a    | accepted at 3 after 1 commits |

  Scenario Outline: an operator gets the one right answer
    Given a change of a row at version 1 while the table is at revision 3
    When the platform answers <answers>
    Then the change is <outcome>

    Examples:
      | answers                                      | outcome                             |
      | read 3, committed                            | accepted at 4 after 1 commits       |
      | read 3 newer                                 | row_conflict after 0 commits        |
      | read 3, refused, read 4, committed           | accepted at 5 after 2 commits       |
      | read 3, refused, read 4 newer                | row_conflict after 1 commits        |
      | read 3, lost, read 4 own                     | accepted at 4 after 1 commits       |
      | read 3, lost, read 3, committed              | accepted at 4 after 2 commits       |
      | read 3, lost, read 3, refused, read 4 own    | accepted at 4 after 2 commits       |
      | read 3, lost, read 3, lost, read 9 own       | accepted at 4 after 2 commits       |
      | read 3, lost, read 4 other, committed        | accepted at 5 after 2 commits       |
      | read 3, lost, down, read 4 own               | accepted at 4 after 1 commits       |
      | read 3, lost, read 9 without record          | platform_ambiguous after 1 commits  |
      | read 3, lost, late, down                     | platform_ambiguous after 1 commits  |
      | read 3, lost, read 3, down, late, down       | platform_ambiguous after 2 commits  |
      | read 3, refused, read 4, late, refused       | overloaded after 2 commits          |
      | down                                         | platform_unavailable after 0 commits |
      | read 3, down                                 | platform_unavailable after 1 commits |
      | read 3 without account                       | invalid_row after 0 commits         |
      | read 2                                       | platform_unavailable after 0 commits |

  Scenario Outline: a replica never goes back
    Given a replica at revision 3 with row x set at 2 and row y at 3
    When it receives <deltas>
    Then it is at revision <revision> with rows <rows>

    Examples:
      | deltas                         | revision | rows          |
      | 3-4 x4                         | 4        | x4 y3         |
      | 2-4 x4 y3                      | 4        | x4 y3         |
      | 0-1 x1                         | 3        | x2 y3         |
      | 1-3 x2 y3                      | 3        | x2 y3         |
      | 4-5 x5                         | 3        | x2 y3         |
      | 4-5 x5, 3-4 y4, 4-5 x5         | 5        | x5 y4         |
      | 0-3 x2 y3 z1                   | 3        | x2 y3 z1      |
      | 0-5 x1 y5                      | 5        | x2 y5         |
      | 3-5 x5, 3-4 x4                 | 5        | x5 y3         |

  Scenario: replicas fed in any order with repeats agree and never go back
    Given 300 seeded changes of 12 rows
    When 10 replicas receive them shuffled, repeated and several at once
    Then no row of any replica has reverted
    And all replicas that reached the last revision have the same checksum

  Scenario Outline: an update reaches every host with few messages from each
    Given <hosts> hosts in <zones> zones
    When each of three hosts commits a change
    Then all hosts receive it and none sends more than <most> messages

    Examples:
      | hosts | zones | most |
      | 1     | 1     | 0    |
      | 7     | 3     | 8    |
      | 120   | 4     | 14   |
      | 500   | 5     | 16   |

  Scenario: a zone has one poller, and others poll when its updates stop
    Given 60 hosts in 3 zones
    Then each zone has one poller, and another one when that one is removed
    And none of the others polls while the replicas of the zone are fresh
    And about 2 of the others poll each period when the replicas are stale

  Scenario Outline: a host is ready once no peer has a newer revision
    Given a host whose replica is at revision <revision>
    When peers at <peers> have answered
    Then the host is <readiness>

    Examples:
      | revision | peers | readiness |
      | 5        | 5,4   | ready     |
      | 5        | 5,7   | not ready |
      | 0        | 0     | ready     |
