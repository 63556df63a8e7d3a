Feature: Placement of streams and calls on backend servers
  Background:
    Given zones near-1 and near-2 in one region and far-1 in another
    And servers a1 a2 in near-1
    And servers b1 b2 in near-2
    And servers c1 in far-1
    And a host in near-1

  Scenario: idle servers in the host's own zone are preferred
    Then a stream goes to one of a1 a2
    And a call goes to one of a1 a2

  Scenario: another zone is preferred to queued prompts
    When a1 and a2 each report 2 prompts waiting
    Then a stream goes to one of b1 b2

  Scenario: streams placed at the same time are spread
    When 8 streams are placed at once
    Then no server has more than 2 of them

  Scenario: a server without enough free token memory is skipped
    When a1 reports 87000 tokens used
    Then a stream goes to one of a2

  Scenario: the backup copy of a run is placed in another zone of the same region
    Then the backup of a stream on a1 is placed on one of b1 b2

  Scenario: servers of a zone that has just failed are suspect
    When b1 is lost
    And b2 is lost
    Then b1 is not chosen
    When servers b3 appear in near-2
    Then the backup of a stream on a1 is placed on one of b3

  Scenario: a report clears a suspect server
    When b1 is lost
    And b2 is lost
    And b2 reports 0 prompts waiting
    Then the backup of a stream on a1 is placed on one of b2

  Scenario: one lost server does not make its zone suspect
    Given servers b3 b4 in near-2
    When b1 is lost
    Then none of b2 b3 b4 is suspect

  Scenario: suspect servers are used if there are no others
    When every server is lost
    Then a stream goes to one of a1 a2 b1 b2 c1

  Scenario: a large service is ranked by a random sample that prefers the own zone
    Given 300 more servers in far-1 and 100 more in near-1
    Then a ranking has 128 servers without duplicates
    And a stream goes to servers of near-1

  Scenario: records of removed servers are evicted once their requests have ended
    Given a1 has a stream in progress and a2 has had one
    When a1 and a2 are removed and stale records are evicted
    Then a1 has a record and a2 has none
    When the stream on a1 ends and stale records are evicted
    Then a1 has no record

  Scenario: a stream that goes on is placed at servers of its software version
    Given software version v2 at a3 b3 in near-2
    Then a stream of software version v2 goes to one of a3 b3
    And a stream of software version v3 is not placed
    And a stream goes to one of a1 a2

  Scenario: the backup copy of a run is placed at its software version
    Given software version v2 at b3 in near-2
    Then the backup of a stream of software version v2 on a1 is placed on one of b3
