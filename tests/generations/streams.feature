Feature: Streams of engines and of callers
  Scenario Outline: only events of the attempt itself count
    When an engine sends "<chunks>" for generation g epoch 7 attempt 1
    Then the owner hears "<heard>"
    And the connection is <connection>

    Examples: g.e.a.o=token, "end" ends, "/" splits chunks
      | chunks                              | heard                    | connection |
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

  Scenario: an event split at any byte is read whole
    When the events "g.7.1.0=ä g.7.1.1=b" arrive split at every byte in turn
    Then the owner always hears tokens "ä b"

  Scenario: a slow caller holds at most one slice and the engines wait
    Given a generation of 5000 tokens and a caller that reads nothing
    When all tokens are deliverable
    Then at most 512 tokens were written to the caller
    And the engines are told to wait
    When the caller reads again
    Then the caller got all 5000 tokens once
    And the engines are told to go on

  Scenario: a caller that never reads does not hold an engine for ever
    Given a generation of 5000 tokens and a caller that reads nothing
    When all tokens are deliverable
    And 1 seconds pass
    And 119 seconds pass
    Then the caller is still served
    When 2 seconds pass
    Then the caller is dropped
