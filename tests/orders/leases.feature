Feature: One holder at a time gives orders to a backend server
  Messages and their times in seconds are replayed against stated actions; a
  lease lasts 6 s, its holder stops 1 s before, an order flies 3 s at most.
  "a/2" is a lease held by host a with fencing number 2.

  Scenario: the first holder, and a renewal after its lease ran out
    Then a replay for host a gives
      | at  | message   | action     | may order |
      | 0   | wanted    | read       | no        |
      | 0.1 | found     | write a/1  | no        |
      | 0.2 | written   | ready      | yes       |
      | 5.0 | wanted    | ready      | yes       |
      | 5.1 | wanted    | read       | no        |
      | 5.2 | found own | write a/2  | no        |
      | 5.3 | written   | ready      | yes       |

  Scenario: a holder that was paused may not go on
    Then a replay for host a gives
      | at  | message   | action     | may order |
      | 0   | wanted    | read       | no        |
      | 0.1 | found     | write a/1  | no        |
      | 60  | written   | ready      | no        |
      | 60  | wanted    | read       | no        |
      | 60  | found b/2 | wait 6.0   | no        |

  Scenario Outline: a lease that lapsed is taken over with a higher number
    Then a replay at an engine that <checks> numbers gives
      | at     | message     | action        | may order |
      | 0      | wanted      | read          | no        |
      | 1      | found b/4   | wait <first>  | no        |
      | 5      | found b/4   | wait <second> | no        |
      | <late> | found b/4   | write a/5     | no        |

    Examples:
      | checks  | first | second | late |
      | checks  | 6.0   | 2.0    | 7    |
      | ignores | 9.0   | 5.0    | 10   |

  Scenario: a holder that renews is waited for anew
    Then a replay for host a gives
      | at | message     | action    | may order |
      | 0  | found b/4   | wait 6.0  | no        |
      | 5  | found b/5   | wait 6.0  | no        |

  Scenario: a lease given back is taken at once
    Then a replay for host a gives
      | at  | message            | action    | may order |
      | 0   | found b/4 released | write a/5 | no        |
      | 0.1 | written            | ready     | yes       |
      | 0.2 | release            | write a/5 released | no |
      | 0.3 | found first        | wait 6.0  | no        |

  Scenario: the answer to the write was lost
    Then a replay for host a gives
      | at  | message   | action    | may order |
      | 0   | found     | write a/1 | no        |
      | 2   | in doubt  | read      | no        |
      | 2.1 | found own | ready     | yes       |
      | 4.9 | wanted    | ready     | yes       |
      | 5.0 | wanted    | read      | no        |

  Scenario: an earlier write of our own is not taken for the last one
    Then a replay for host a gives
      | at  | message     | action    | may order |
      | 0   | found       | write a/1 | no        |
      | 2   | in doubt    | read      | no        |
      | 2.1 | found       | write a/1 | no        |
      | 2.2 | found first | wait 6.0  | no        |

  Scenario: the platform is down
    Then a replay for host a gives
      | at  | message     | action   | may order |
      | 0   | wanted      | read     | no        |
      | 0.1 | unavailable | wait 0.2 | no        |

  Scenario: the engine knows a newer holder
    Then a replay for host a gives
      | at  | message   | action    | may order |
      | 0   | found     | write a/1 | no        |
      | 0.1 | written   | ready     | yes       |
      | 0.2 | refused   |           | no        |
      | 0.3 | found own | wait 6.0  | no        |

  Scenario Outline: what a server still has to be told
    Given an engine with models <has>, role mixed, version 1 and <work>
    When its row is <state> and wants models <wants>, role <role>, version <number>
    Then it is ordered: <order>

    Examples:
      | has | work    | state   | wants | role  | number | order       |
      | m   | no work | active  | m     | mixed | 1 | nothing     |
      | m   | no work | active  | -     | -     | - | nothing     |
      | m   | no work | active  | m,n   | -     | - | load n      |
      | m   | no work | active  | n     | -     | - | load n      |
      | m,n | no work | active  | n     | -     | - | unload m    |
      | m,n | work    | active  | n     | -     | - | nothing     |
      | m   | work    | active  | m     | decode | 2 | version 2  |
      | m   | work    | active  | m     | decode | - | role decode |
      | m   | no work | stopped | m     | -     | - | unload m    |
      | m   | work    | stopped | m     | -     | - | nothing     |

  Scenario: the most wanted weights come first, as the store allows
    Then the queue of a zone replays
      | at  | event         | outcome |
      | 0   | e1 asks m     | wait    |
      | 0   | e2 asks n     | wait    |
      | 0   | e3 asks n     | wait    |
      | 0   | next          | n       |
      | 0.1 | next          | none    |
      | 0.2 | refused 2     |         |
      | 2.1 | next          | none    |
      | 2.2 | next          | n       |
      | 2.3 | fetched       |         |
      | 2.3 | e2 asks n     | ready   |
      | 2.3 | next          | m       |
      | 2.4 | fetched       |         |
      | 3   | e4 asks x     | wait    |
      | 14  | next          | none    |
