Feature: The stand-ins implement the outer protocols

  Scenario: Each new run of a request generates different text
    Given an engine "one"
    When attempt 1 of generation "g" runs for 6 tokens
    And attempt 2 of generation "g" runs for 6 tokens
    Then the two texts differ at every offset
    And the record of "one" has both texts

  Scenario: A run resumed from a prefix continues after it
    Given an engine "one"
    When attempt 1 of generation "g" runs for 3 tokens
    And attempt 2 resumes from the received text, up to 6 tokens
    Then the caller's text is complete and without faults

  Scenario: A dead engine resets streams and loses its state, but not its record
    Given an engine "one"
    And its switch die_after_tokens is 2
    When attempt 1 of generation "g" runs for 6 tokens
    Then 2 tokens and no end event arrive
    And calls to "one" are reset until it is revived
    When engine "one" is killed and started again
    And attempt 2 resumes on a new engine "two", up to 6 tokens
    Then the caller's text is complete and without faults

  Scenario: A run whose caller disconnected is reattached under a new epoch
    Given an engine "one"
    When a caller reads 2 tokens of a run of 40 and disconnects
    Then reattaching at epoch 2 streams the rest of the same run
    And epoch 1 is refused as stale

  Scenario: A run with a complete prefix ends at once
    Given an engine "one"
    When attempt 1 of generation "g" runs for 6 tokens
    And attempt 2 resumes from the received text, up to 6 tokens
    Then the caller's text is complete and without faults

  Scenario: A run without a caller is abandoned after the grace period
    Given an engine "one" with a grace period of 0.05 s
    When a caller reads 2 tokens of a run of 1000 and disconnects
    Then the run is abandoned and cannot be reattached

  Scenario Outline: A fault is injected into a stream once
    Given an engine "one"
    And its switch <switch> is 1
    When attempt 1 of generation "g" runs for 6 tokens
    Then the received offsets are <offsets>
    And the checker finds <lost> lost and <repeated> repeated

    Examples:
      | switch         | offsets       | lost | repeated |
      | repeat         | 0 0 1 2 3 4 5 | 0    | 1        |
      | gap            | 1 2 3 4 5     | 1    | 0        |
      | reorder        | 1 0 2 3 4 5   | 0    | 0        |
      | truncate_event |               | 0    | 0        |

  Scenario: Two streams swap an event
    Given an engine "one"
    When two streams run while the switch cross is 1
    Then each stream has one event of the other

  Scenario: An old order is refused if fencing is checked, else applied
    Given an engine "one"
    When it receives orders with fencing 7 and then 6
    Then the second is refused
    Given its switch check_fencing is false
    And it receives orders with fencing 7 and then 6
    Then the second is applied

  Scenario: Cache events report evictions from a full cache
    Given an engine "one" with room for 1 context
    When generations with the prompts "a" and "b" run
    Then its cache events are stored "a", stored "b", evicted "a"

  Scenario: A conditional write that conflicts gets the current row
    Given a platform
    When two writers insert the row "claim" at version 0
    Then the second gets a conflict with the row of the first

  Scenario: A write whose answer is lost is applied
    Given a platform
    And its switch lose_answer_after_write is 1
    When a writer inserts the row "claim" at version 0
    Then it gets no answer, but the row exists

  Scenario: A platform that is down applies nothing
    Given a platform
    And its switch down is true
    When a writer inserts the row "claim" at version 0
    Then it gets 503, and the row does not exist once the platform is up

  Scenario Outline: The plain service records each run, with or without an answer
    Given a plain service
    And its switch <switch> is <setting>
    When a booking is sent
    Then the answer is <answer> and <runs> bookings ran

    Examples:
      | switch           | setting | answer | runs |
      | late_ms          | 5       | 201    | 1    |
      | fail_ratio       | 1       | 500    | 1    |
      | close_after_read | 1       | None   | 0    |
      | close_after_run  | 1       | None   | 1    |
      | refuse           | true    | 503    | 0    |

  Scenario Outline: A cut link holds bytes back until it is restored
    Given a plain service behind a link
    When a booking is sent while the link's <switch> is <cut>
    Then it ran once, after <switch> was set to <restored>

    Examples:
      | switch      | cut           | restored |
      | cut         | true          | false    |
      | cut_sources | ["127.0.0.1"] | []       |
