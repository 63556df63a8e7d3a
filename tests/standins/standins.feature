Feature: The stand-ins behave as the outer protocols say

  Scenario: Each fresh run of one request gives different text
    Given an engine "one"
    When attempt 1 of generation "g" runs for 6 tokens
    And attempt 2 of generation "g" runs for 6 tokens
    Then the two texts differ at every offset
    And the record of "one" explains both

  Scenario: A run resumed from a prefix goes on after it
    Given an engine "one"
    When attempt 1 of generation "g" runs for 3 tokens
    And attempt 2 resumes from what came, up to 6 tokens
    Then the caller's text is whole and clean

  Scenario: A dead engine resets streams and forgets, and its record stays
    Given an engine "one"
    And its switch die_after_tokens is 2
    When attempt 1 of generation "g" runs for 6 tokens
    Then 2 tokens and no end came
    And calls to "one" are reset until it is revived
    When engine "one" is killed and started again
    And attempt 2 resumes on a new engine "two", up to 6 tokens
    Then the caller's text is whole and clean

  Scenario: A run whose caller left is reattached under a new epoch
    Given an engine "one"
    When a caller takes 2 tokens of a run of 40 and leaves
    Then reattaching at epoch 2 gives the rest of the same run
    And epoch 1 is refused as stale

  Scenario: A full prefix gives the end at once
    Given an engine "one"
    When attempt 1 of generation "g" runs for 6 tokens
    And attempt 2 resumes from what came, up to 6 tokens
    Then the caller's text is whole and clean

  Scenario: A run whose caller stays away is given up after the grace
    Given an engine "one" with a grace of 0.05 seconds
    When a caller takes 2 tokens of a run of 1000 and leaves
    Then the run is abandoned, and can't be reattached

  Scenario Outline: One-shot faults of a stream
    Given an engine "one"
    And its switch <switch> is 1
    When attempt 1 of generation "g" runs for 6 tokens
    Then the offsets are <offsets>
    And the checker finds <lost> lost and <repeated> repeated

    Examples:
      | switch         | offsets       | lost | repeated |
      | repeat         | 0 0 1 2 3 4 5 | 0    | 1        |
      | gap            | 1 2 3 4 5     | 1    | 0        |
      | reorder        | 1 0 2 3 4 5   | 0    | 0        |
      | truncate_event |               | 0    | 0        |

  Scenario: Two streams get each other's event
    Given an engine "one"
    When two streams run while one event is crossed
    Then each got one event that names the other

  Scenario: An engine that checks fencing refuses an old order, another obeys
    Given an engine "one"
    When it gets orders with fencing 7 and then 6
    Then the second is refused
    Given its switch check_fencing is false
    And it gets orders with fencing 7 and then 6
    Then the second is obeyed

  Scenario: Cache events tell what limited memory evicts
    Given an engine "one" with room for 1 context
    When generations with the prompts "a" and "b" run
    Then its cache events are stored "a", stored "b", evicted "a"

  Scenario: A conditional write that lost the race gets the row back
    Given a platform
    When two writers insert the row "claim" at version 0
    Then the second gets a conflict with the first one's row

  Scenario: A lost answer leaves the write in place
    Given a platform
    And its switch lose_answer_after_write is 1
    When a writer inserts the row "claim" at version 0
    Then it gets no answer, and the row is there

  Scenario: A platform that is down applies nothing
    Given a platform
    And its switch down is true
    When a writer inserts the row "claim" at version 0
    Then it is told 503, and the row is not there once it is up

  Scenario Outline: The plain service records each run, answered or not
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

  Scenario Outline: A cut link holds bytes back and passes them when mended
    Given a plain service behind a link
    When a booking is sent while the link's <switch> is <cut>
    Then it ran once, after <switch> was set to <mended>

    Examples:
      | switch      | cut           | mended |
      | cut         | true          | false  |
      | cut_sources | ["127.0.0.1"] | []     |
