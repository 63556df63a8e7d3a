Feature: Claims are written in groups, and a write in doubt is settled
  Messages and their times in seconds are replayed against stated actions.
  "a:k" is a claim of attempt a on key k; "a:k=answered" writes its answer.

  Scenario: claims of a few milliseconds share one transaction
    Then a replay gives
      | at    | message     | actions                           |
      | 0     | add a:k     | arm 0.006                         |
      | 0.004 | add b:m     |                                   |
      | 0.006 | elapsed     | commit a:k@0 b:m@0                |
      | 0.007 | add c:n     |                                   |
      | 0.010 | committed 7 | a:k written, b:m written, arm 0.006 |

  Scenario: a conflict of one change does not fail the others
    Then a replay gives
      | at    | message              | actions                  |
      | 0     | add a:k              | arm 0.006                |
      | 0     | add b:m              |                          |
      | 0.006 | elapsed              | commit a:k@0 b:m@0       |
      | 0.010 | conflict x:k=claimed | a:k taken, commit b:m@0  |
      | 0.015 | committed 7          | b:m written              |

  Scenario: an answer lost after the write is settled by the attempt id
    Then a replay gives
      | at    | message              | actions      |
      | 0     | add a:k              | arm 0.006    |
      | 0.006 | elapsed              | commit a:k@0 |
      | 0.100 | ambiguous            | arm 0.03     |
      | 0.130 | elapsed              | commit a:k@0 |
      | 0.140 | conflict a:k=claimed | a:k written  |

  Scenario: a claim given up in doubt may be in the table
    Then a replay gives
      | at    | message    | actions                      |
      | 0     | add a:k    | arm 0.006                    |
      | 0.006 | elapsed    | commit a:k@0                 |
      | 1.5   | checked    | a:k not written, doubtful    |
      | 1.9   | committed 7 |                             |

  Scenario: a released row gives the key to the next attempt
    Then a replay gives
      | at    | message               | actions      |
      | 0     | add b:k               | arm 0.006    |
      | 0.006 | elapsed               | commit b:k@0 |
      | 0.010 | conflict a:k=released | commit b:k@3 |
      | 0.015 | committed 7           | b:k written  |

  Scenario: the release of a claim that came late takes its place
    Then a replay gives
      | at    | message              | actions               |
      | 0     | add a:k=released     | arm 0.02              |
      | 0.020 | elapsed              | commit a:k=released@0 |
      | 0.030 | conflict a:k=claimed | commit a:k=released@3 |
      | 0.040 | committed 7          | a:k written           |

  Scenario: a claim does not go on after its own release
    Then a replay gives
      | at    | message               | actions      |
      | 0     | add a:k               | arm 0.006    |
      | 0.006 | elapsed               | commit a:k@0 |
      | 0.010 | conflict a:k=released | a:k taken    |

  Scenario: while the platform is down claims fail at once and answers wait
    Then a replay gives
      | at    | message          | actions                   |
      | 0     | add a:k          | arm 0.006                 |
      | 0     | add b:m=answered |                           |
      | 0.006 | elapsed          | commit a:k@0 b:m=answered@0 |
      | 0.010 | unavailable      | a:k not written, arm 0.25 |
      | 0.020 | add c:n          | c:n not written           |
      | 0.260 | elapsed          | commit b:m=answered@0     |
      | 0.270 | committed 7      | b:m written               |

  Scenario: claims are refused at once behind a platform that hangs
    Then a replay gives
      | at    | message | actions         |
      | 0     | add a:k | arm 0.006       |
      | 0.006 | elapsed | commit a:k@0    |
      | 0.6   | add b:m | b:m not written |

  Scenario: two claims on one key never share a transaction
    Then a replay gives
      | at    | message              | actions                |
      | 0     | add a:k              | arm 0.006              |
      | 0     | add b:k              |                        |
      | 0.006 | elapsed              | commit a:k@0           |
      | 0.010 | committed 7          | a:k written, arm 0.006 |
      | 0.016 | elapsed              | commit b:k@0           |
      | 0.020 | conflict a:k=claimed | b:k taken              |
