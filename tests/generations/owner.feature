Feature: An owner's decisions, replayed from recorded traces
  A token is written as the run that made it and its offset.  Attempts are
  cancelled with the engine's fault, or without one.

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

    Examples: engines answer wrongly
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

    Examples: callers leave or lag
      | trace                     | delivered   | ended  | started | cancelled | dropped |
      | caller_leaves_and_returns | a0 b1 b2 b3 | length | 2       | 1         | 1       |
      | slow_caller               | a0 a1 a2 a3 | length | 1       |           | 0       |

  Scenario: a caller that left stops the engine's work within a second
    When the trace "caller_leaves_and_returns" is replayed
    Then attempt 1 was cancelled between 0.2 and 1.2 seconds

  Scenario: the patient policy moves a frozen engine's work once
    When the trace "frozen_patient_woken" is replayed
    Then attempt 1 was cancelled between 3.1 and 3.4 seconds

  Scenario: a resume avoids the engine that failed
    When the trace "killed_middle" is replayed
    Then attempt 2 excluded "e1"

  Scenario: an engine at which a run is gone is not at fault
    When the trace "taken_over_engine_gone" is replayed
    Then attempt 5 excluded ""

  Scenario: delivery without a replica is bounded and looks for a new one
    When the trace "replica_cut" is replayed
    Then token 2 was first delivered between 0.4 and 0.5 seconds
    And replicas were chosen without "", "b"

  Scenario: a replica missed over a pause is asked again, not replaced
    When the trace "paused_replica_missed" is replayed
    Then the caller got "a0" and the end "stopped"
    And replicas were chosen without ""

  Scenario Outline: a new owner goes on with the run where it is known
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
    And the engines' own records explain every token
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
