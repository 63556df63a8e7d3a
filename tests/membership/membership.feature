Feature: Hosts know which hosts are alive
  Scenario Outline: a dead host is known in its zone within 2 s
    Given a zone of <hosts> hosts with seed <seed>
    When h1 is killed
    Then after 2 s every other host considers h1 dead
    And no other host was suspected

    Examples:
      | hosts | seed |
      | 2     | 1    |
      | 3     | 2    |
      | 20    | 3    |
      | 50    | 4    |
      | 50    | 5    |
      | 50    | 6    |

  Scenario Outline: a paused host comes back without harm
    Given a zone of <hosts> hosts with seed <seed>
    When h1 is paused for <pause> s with a probe in progress
    Then after 2 s every other host considers h1 alive
    And no other host was suspected

    Examples:
      | hosts | seed | pause |
      | 3     | 1    | 0.7   |
      | 3     | 2    | 5     |
      | 20    | 3    | 1     |
      | 20    | 4    | 5     |
      | 20    | 5    | 20    |

  Scenario Outline: a false accusation is refuted
    Given a zone of 20 hosts with seed <seed>
    When h2 reports h1 as <status>
    Then after 2 s every other host considers h1 alive
    And no other host was suspected
    And h1 was considered dead by <observers>

    Examples:
      | seed | status  | observers  |
      | 1    | suspect | no host    |
      | 2    | suspect | no host    |
      | 3    | dead    | some hosts |

  Scenario: one cut link between two hosts is no death
    Given a zone of 10 hosts with seed 7
    When the link between h1 and h2 is cut
    Then after 20 s every other host considers h1 alive
    And no other host was suspected
    And h1 refuted no suspicion

  Scenario: a restarted host replaces its former run
    Given a zone of 10 hosts with seed 8
    When h1 is killed
    And 3 s later h1 starts with incarnation 2
    Then after 2 s every other host considers h1 alive
    And a delayed message about incarnation 1 changes nothing

  Scenario: leaving is known at once
    Given a zone of 50 hosts with seed 9
    When h1 starts to leave
    Then after 1 s every other host knows that h1 is leaving

  Scenario: the cost of a host does not grow with the zone
    Then a host of 80 sends at most 1.1 times as many messages as a host of 10
    And no message contains more than 10 host states

  Scenario: of other zones only a few hosts are kept
    Given samples of 10 zones with 50 hosts each
    Then 3 hosts are known of each zone
    And a dead host is replaced by another

  Scenario: the lagging list is only a hint
    Given h1 live at port 1, h2 dead at port 2, and a seed at port 3
    When the platform lists ports 1, 4 and 5
    Then only ports 2, 3, 4 and 5 are candidates
    And an isolated host asks all candidates
