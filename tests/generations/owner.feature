Feature: Decisions of a generation's owner, replayed from traces
  A token is written as a letter for the engine run that produced it, and its
  offset.  A cancelled attempt is written as its number, followed by the
  failure kind if the engine was at fault.

  Scenario Outline: <trace>
    When the trace "<trace>" is replayed
    Then the caller got "<delivered>" and the end "<ended>"
    And <started> attempts were started
    And attempts "<cancelled>" were cancelled
    And <dropped> tokens were dropped

    Examples: engines fail
      | trace                    | delivered   | ended  | started | cancelled     | dropped |
      | no_failure               | a0 a1 a2 a3 | length | 1       |               | 0       |
      | killed_first_token       | b0 b1 b2 b3 | length | 2       | 1:reset       | 0       |
      | killed_middle            | a0 a1 b2 b3 | length | 2       | 1:reset       | 0       |
      | killed_before_end        | a0 a1 a2 a3 | length | 1       | 1             | 0       |
      | killed_during_resume     | a0 c1 c2 c3 | length | 3       | 1:reset 2:reset | 0     |
      | two_killed_together      | a0 c1 c2 c3 | length | 3       | 1:reset 2:reset | 0     |
      | frozen_patient_woken     | a0 a1 b2 b3 | length | 2       | 1:silent      | 2       |
      | frozen_eager_woken       | a0 a1 b2 b3 | length | 2       | 1             | 2       |
      | eager_first_recovers     | a0 a1 a2 a3 | length | 2       | 2             | 2       |
      | refused_by_admission     |             | no_backend_server | 1 |          | 0       |
      | resume_finds_nothing_yet | a0 a1 c2 c3 | length | 3       | 1:reset       | 0       |
      | five_killed_at_start     |             | backend_server_error | 5 | 1:reset 2:reset 3:truncated 4:reset 5:reset | 0 |
      | five_unreachable_at_start | f0 f1 f2 f3 | length | 6      | 1:unreachable 2:unreachable 3:unreachable 4:unreachable 5:unreachable | 0 |

    Examples: engines send wrong events
      | trace           | delivered   | ended  | started | cancelled   | dropped |
      | repeated_events | a0 a1 a2 a3 | length | 1       |             | 2       |
      | gap             | a0 b1 b2 b3 | length | 2       | 1:malformed | 1       |
      | out_of_order    | b0 b1 b2 b3 | length | 2       | 1:malformed | 2       |
      | prefix_ignored  | a0 a1 c2 c3 | length | 3       | 1:reset 2:malformed | 3 |
      | end_too_early   | a0 b1 b2 b3 | length | 2       | 1:malformed | 0       |

    Examples: hosts fail
      | trace                    | delivered   | ended   | started | cancelled         | dropped |
      | replica_cut              | a0 a1 a2    |         | 1       |                   | 0       |
      | replica_lost_replaced    | a0 a1       |         | 1       |                   | 0       |
      | no_other_host            | a0 a1 a2 a3 | length  | 1       |                   | 0       |
      | paused_and_refused       | a0          | stopped | 1       | 1                 | 0       |
      | paused_ack_first         | a0          | stopped | 1       | 1                 | 0       |
      | paused_replica_missed    | a0          | stopped | 1       | 1                 | 0       |
      | paused_still_owner       | a0 a1 a2    |         | 1       |                   | 0       |
      | engine_knows_newer_owner | a0          | stopped | 1       | 1                 | 0       |
      | taken_over_reattached    | a0 a1 a2 a3 | length  | 1       |                   | 0       |
      | taken_over_engine_gone   | a0 a1 b2 b3 | length  | 2       | 4:unknown_attempt | 0       |

    Examples: callers disconnect or are slow
      | trace                     | delivered   | ended  | started | cancelled | dropped |
      | caller_leaves_and_returns | a0 b1 b2 b3 | length | 2       | 1         | 1       |
      | slow_caller               | a0 a1 a2 a3 | length | 1       |           | 0       |

  Scenario: an engine's work is cancelled soon after the caller disconnects
    When the trace "caller_leaves_and_returns" is replayed
    Then attempt 1 was cancelled between 0.2 and 1.2 seconds

  Scenario: the patient policy replaces the attempt at a frozen engine once
    When the trace "frozen_patient_woken" is replayed
    Then attempt 1 was cancelled between 3.1 and 3.4 seconds

  Scenario: a new attempt avoids the engine that failed
    When the trace "killed_middle" is replayed
    Then attempt 2 excluded "e1"

  Scenario: an engine that no longer knows an attempt is not avoided
    When the trace "taken_over_engine_gone" is replayed
    Then attempt 5 excluded ""

  Scenario: an unreachable replica delays delivery briefly and is replaced
    When the trace "replica_cut" is replayed
    Then token 2 was first delivered between 0.4 and 0.5 seconds
    And replicas were chosen without "", "b"

  Scenario: a replica that timed out over a pause is asked again
    When the trace "paused_replica_missed" is replayed
    Then the caller got "a0" and the end "stopped"
    And replicas were chosen without ""

  Scenario Outline: a new owner reattaches to the attempt it knows
    When the trace "<trace>" is replayed
    Then the first attempt <first> "e1"

    Examples:
      | trace                  | first      |
      | taken_over_reattached  | reattaches |
      | taken_over_engine_gone | reattaches |
      | no_failure             | starts     |

  Scenario Outline: <trace>, recorded from real processes
    When the trace "<trace>" is replayed
    Then <count> tokens were delivered and the end "<ended>"
    And every token is in the engines' own records
    And attempts "<cancelled>" were cancelled

    Examples:
      | trace                   | count | ended   | cancelled       |
      | recorded_kill           | 24    | length  | 1:reset         |
      | recorded_freeze_patient | 24    | length  | 1:silent        |
      | recorded_freeze_eager   | 24    | length  | 1               |
      | recorded_two_kills      | 24    | length  | 1:reset 2:reset |
      | recorded_replica_kill   | 24    | length  |                 |
      | recorded_replica_pause  | 24    | length  |                 |
      | recorded_owner_pause    | 12    | stopped |                 |
