Feature: Streams from engines and to callers
  Scenario Outline: only events of the attempt itself are accepted
    When an engine sends "<chunks>" for generation g epoch 7 attempt 1
    Then the owner receives "<received>"
    And the connection is <connection>

    Examples: generation.epoch.attempt.offset=token or =end, "/" splits chunks
      | chunks                              | received                 | connection |
      | g.7.1.0=a g.7.1.1=b                 | 0:a,b                    | open       |
      | g.7.1.0=a / g.7.1.1=b               | 0:a 1:b                  | open       |
      | g.7.1.0=ä\" / g.7.1.1=b\\          | 0:ä\" 1:b\\              | open       |
      | g.7.1.0=a g.7.1.1=end               | 0:a finished:1:length    | closed     |
      | g.7.1.0=a h.7.1.1=b                 | 0:a failed:mismatched    | closed     |
      | h.7.1.0=a                           | failed:mismatched        | closed     |
      | g.7.1.x=a                           | failed:malformed         | closed     |
      | g.7.1.0=a g.6.1.1=b                 | 0:a failed:mismatched    | closed     |
      | g.7.1.0=a g.7.2.1=b g.7.1.1=b       | 0:a failed:mismatched    | closed     |
      | g.7.1.0=a g.7.1.2=c g.7.1.1=b       | 0:a 2:c 1:b              | open       |
      | g.7.1.0=a cut                       | 0:a failed:truncated     | ended      |
      | g.7.1.0=a / close                   | 0:a failed:reset         | ended      |
      | g.7.1.0=a / rubbish                 | 0:a failed:malformed     | closed     |
      | status.409.stale_epoch / close      | failed:stale_epoch       | ended      |
      | status.503.refused / close          | failed:refused           | ended      |
      | status.404.unknown_attempt / close  | failed:unknown_attempt   | ended      |

  Scenario: an event may be split between chunks at any byte
    When the events "g.7.1.0=ä g.7.1.1=b" arrive split at every byte in turn
    Then the owner always receives tokens "ä b"

  Scenario: a slow caller buffers at most one write and engines are paused
    Given a generation of 5000 tokens and a caller that reads nothing
    When all tokens are deliverable
    Then at most 512 tokens were written to the caller
    And the engines are paused
    When the caller reads again
    Then the caller got all 5000 tokens once
    And the engines are resumed

  Scenario: a caller that never reads is dropped
    Given a generation of 5000 tokens and a caller that reads nothing
    When all tokens are deliverable
    And 1 seconds pass
    And 119 seconds pass
    Then the caller is still served
    When 2 seconds pass
    Then the caller is dropped
