Feature: Links between hosts
  Scenario: a request reaches its handler, which sees the authenticated sender
    Given a host "b" that replies with row_conflict
    When host "a" sends it a request with code "x"
    Then the reply has code "x"
    And host "b" saw sender "a" of zone "z1"

  Scenario: an error of the peer is raised with its code and verdict
    Given a host "b" that replies with stale_epoch
    When host "a" sends it a request with code "x"
    Then StaleEpochError is raised with verdict "not_run"

  Scenario: an exception in a peer's handler does not close the link
    Given a host "b" whose handler raises an exception
    When host "a" sends it a request with code "x"
    Then CelerywharfError is raised with verdict "may_have_run"
    And host "b" still has the link open

  Scenario Outline: a reply that cannot be sent fails only its request
    Given a host "b" <when> replies with text that is <odd>
    When host "a" sends it a request with code "x"
    Then CelerywharfError is raised with verdict "may_have_run"
    And host "b" still has the link open

    Examples:
      | when       | odd       |
      | that       | too large |
      | that       | unpaired  |
      | that later | too large |
      | that later | unpaired  |

  Scenario: a one-way message that cannot be sent does not harm its sender
    Given a host "b" that replies with row_conflict
    And host "a" has a link to it
    When host "a" sends it a one-way message that is too large
    Then host "a" still gets replies from it

  Scenario: a host with another key is rejected
    Given a host "b" that replies with row_conflict
    When a host with another key sends it a request
    Then PeerUnreachableError is raised with verdict "may_have_run"

  Scenario Outline: invalid bytes close only the connection they arrive on
    Given a host "b" that replies with row_conflict
    And host "a" has a link to it
    When <bytes> arrive on a new connection
    Then that connection is closed
    And host "a" still gets replies from it

    Examples:
      | bytes                   |
      | random bytes            |
      | an oversized frame      |
      | a truncated frame       |
      | a frame of another kind |

  Scenario: a request is stamped before the receiver's next event despite clock skew
    Given a host "b" that replies with row_conflict
    And the clock of host "b" is 100 s behind
    When host "a" sends it a request with code "x"
    Then the next event of host "b" has a later stamp than the request

  Scenario: an outgoing link uses the host's source address
    Given a host "b" that replies with row_conflict
    And a host "c" with source address 127.0.9.1
    When host "c" sends it a request with code "x"
    Then host "b" has an incoming link from 127.0.9.1
