Feature: Inner links
  Scenario: a question reaches its handler and the answerer knows who asked
    Given a host "b" that answers
    When host "a" asks it with code "x"
    Then the answer has code "x"
    And host "b" saw host "a" of zone "z1"

  Scenario: an error of the peer is raised with its code and verdict
    Given a host "b" that refuses with stale_epoch
    When host "a" asks it with code "x"
    Then StaleEpochError is raised with verdict "not_run"

  Scenario: a fault inside a peer's handler closes no link
    Given a host "b" that fails inside its handler
    When host "a" asks it with code "x"
    Then CelerywharfError is raised with verdict "may_have_run"
    And host "b" still has the link open

  Scenario: a host with another key is turned away
    Given a host "b" that answers
    When a host with another key asks it
    Then PeerUnreachableError is raised with verdict "may_have_run"

  Scenario Outline: broken bytes close that link only
    Given a host "b" that answers
    And host "a" has a link to it
    When <bytes> arrive on a new connection
    Then that connection is closed
    And host "a" can still ask it

    Examples:
      | bytes                   |
      | random bytes            |
      | an oversized frame      |
      | a truncated frame       |
      | a frame of another kind |

  Scenario: an effect's stamp is later than its cause's, whatever the clocks
    Given a host "b" that answers
    And host "b" runs 100 s behind
    When host "a" asks it with code "x"
    Then host "b" stamps its next event after the question

  Scenario: a link goes out from the host's own address
    Given a host "b" that answers
    And a host "c" whose links go out from 127.0.9.1
    When host "c" asks it with code "x"
    Then host "b" is asked from 127.0.9.1
