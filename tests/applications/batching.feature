Feature: Claims are written in groups, and a write in doubt is settled
  Messages are replayed at the given times in seconds, and the actions of the
  batch logic are compared with the table.
  "a:k" is a claim of attempt a on key k; "a:k=answered" writes its answer;
  "@3" is the row version that a write expects; "arm 0.006" sets a timer of
  6 ms, which "elapsed" reports.

  Scenario: claims that arrive within 6 ms share one transaction
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
      | 1.5   | expire     | a:k not written, in doubt    |
      | 1.9   | committed 7 |                             |

  Scenario: a released row gives the key to the next attempt
    Then a replay gives
      | at    | message               | actions      |
      | 0     | add b:k               | arm 0.006    |
      | 0.006 | elapsed               | commit b:k@0 |
      | 0.010 | conflict a:k=released | commit b:k@3 |
      | 0.015 | committed 7           | b:k written  |

  Scenario: the release of a claim replaces a claim that was written late
    Then a replay gives
      | at    | message              | actions               |
      | 0     | add a:k=released     | arm 0.02              |
      | 0.020 | elapsed              | commit a:k=released@0 |
      | 0.030 | conflict a:k=claimed | commit a:k=released@3 |
      | 0.040 | committed 7          | a:k written           |

  Scenario: a claim does not replace its own release
    Then a replay gives
      | at    | message               | actions      |
      | 0     | add a:k               | arm 0.006    |
      | 0.006 | elapsed               | commit a:k@0 |
      | 0.010 | conflict a:k=released | a:k taken    |

  Scenario: while the platform is down claims fail at once and answers queue
    Then a replay gives
      | at    | message          | actions                   |
      | 0     | add a:k          | arm 0.006                 |
      | 0     | add b:m=answered |                           |
      | 0.006 | elapsed          | commit a:k@0 b:m=answered@0 |
      | 0.010 | unavailable      | a:k not written, arm 0.25 |
      | 0.020 | add c:n          | c:n not written           |
      | 0.260 | elapsed          | commit b:m=answered@0     |
      | 0.270 | committed 7      | b:m written               |

  Scenario: claims are refused at once while the platform hangs
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
