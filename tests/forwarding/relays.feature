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
      | 0    | 1 2 2 3 end                   | 1 2     | lost     |
      | 2    | 1 2 2 3 end                   | none    | lost     |
      | 0    | 1 3 4 end                     | 1       | lost     |
      | 2    | 4 end                         | none    | lost     |
      | 0    | 1 half-2 end                  | 1       | lost     |
      | 0    | 1 half-2 reset                | 1       | lost     |
      | 0    | 1 unnumbered 2 end            | 1       | lost     |
      | 0    | 1 2 reset                     | 1 2     | lost     |

  Scenario Outline: an answer without length or chunks ends with its connection
    Given a caller that has events up to <last>
    When an engine's unframed stream consists of <pieces>
    Then the caller gets events <events>
    And the send is <outcome>
    And the server is <fate>

    Examples:
      | last | pieces       | events | outcome  | fate                |
      | 0    | 1 2 3 end    | 1 2 3  | finished | not lost            |
      | 0    | 1 half-2 end | 1      | lost     | lost as it began    |
      | 0    | end          | none   | lost     | lost as it began    |
      | 2    | end          | none   | lost     | lost as it began    |
      | 0    | 1 2 reset    | 1 2    | lost     | lost as it began    |

  Scenario: a stream that is complete without an event is answered
    Given a caller that has events up to 0
    When an engine's stream consists of end
    Then the send is finished
    And the caller's answer has begun

  Scenario: a stream that ends without a head is not answered
    Given a caller that has events up to 0
    When an engine's stream ends before its head
    Then the send is lost
    And the caller gets events none

  Scenario: an event in small pieces is searched once
    When 16 events of 60000 bytes arrive in pieces of 16 bytes
    Then all of them are split within 1 s

  Scenario: an event that never ends is given up at the limit
    When an event of 70000 bytes arrives in pieces of 1000 bytes
    Then the send is lost

  Scenario Outline: only progress of the caller counts as a sign of life
    Given a caller that has events up to 3
    When an engine's stream consists of <pieces>
    Then the silence of the engine <counts>

    Examples:
      | pieces      | counts           |
      | 4           | starts anew      |
      | 3           | goes on          |
      | 1 2 3 3 3   | goes on          |
      | comment     | goes on          |
      | half-4      | goes on          |

  Scenario: a stream is held while its caller is congested
    Given a caller that has events up to 0
    When an engine sends 3 events and the caller is congested after 1
    Then the transfer is paused and the silence is not the engine's
    When the caller has received everything
    Then the transfer goes on and silence counts from then

  Scenario Outline: an answer that does not belong to the request is not relayed
    Given a caller that has events up to 0
    When the stream's headers are those <fault>
    Then the caller gets events none
    And the send is <outcome>

    Examples:
      | fault                           | outcome |
      | of another request              | lost    |
      | without signature               | lost    |
      | of an encoded body              | lost    |
      | of a refusal                    | refused |
      | of a refusal that names it      | refused |
      | of a refusal of another request | lost    |
      | of another incarnation          | refused |
      | of another one's 421            | lost    |
