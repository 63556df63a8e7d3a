Feature: Relaying of events to the caller
  Scenario Outline: only complete events are relayed, each once and in order
    Given a caller that has events up to <last>
    When an engine's stream consists of <pieces>
    Then the caller gets events <events>
    And the send is <outcome>

    Examples:
      | last | pieces                        | events  | outcome  |
      | 0    | 1 2 3 end                     | 1 2 3   | finished |
      | 2    | 3 4 end                       | 3 4     | finished |
      | 2    | 1 2 3 4 end                   | 3 4     | finished |
      | 0    | 1 2 2 3 end                   | 1 2 3   | finished |
      | 0    | 1 3 4 end                     | 1       | lost     |
      | 2    | 4 end                         | none    | lost     |
      | 0    | 1 half-2 end                  | 1       | lost     |
      | 0    | 1 half-2 reset                | 1       | lost     |
      | 0    | 1 unnumbered 2 end            | 1       | lost     |
      | 0    | 1 2 reset                     | 1 2     | lost     |

  Scenario Outline: an answer that does not belong to the request is not relayed
    Given a caller that has events up to 0
    When the stream's headers are those <fault>
    Then the caller gets events none
    And the send is <outcome>

    Examples:
      | fault                  | outcome |
      | of another request     | lost    |
      | without signature      | lost    |
      | of an encoded body     | lost    |
      | of a refusal           | refused |
      | of another incarnation | refused |
