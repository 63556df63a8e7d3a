Feature: One holder at a time sends orders to a backend server
  Each row is a message at a time in seconds, with the expected action.  A
  lease is valid for 6 s, its holder stops 1 s before the expiry, and an order
  is in flight for at most 3 s.  "a/2" is a lease held by host a with fencing
  number 2.

  Scenario: the first holder renews its lease after it expired
    Then a replay for host a gives
      | at  | message   | action    | may send |
      | 0   | needed    | read      | no       |
      | 0.1 | found     | write a/1 | no       |
      | 0.2 | written   | ready     | yes      |
      | 5.0 | needed    | ready     | yes      |
      | 5.1 | needed    | read      | no       |
      | 5.2 | found own | write a/2 | no       |
      | 5.3 | written   | ready     | yes      |

  Scenario: a holder that was paused may not go on
    Then a replay for host a gives
      | at  | message   | action    | may send |
      | 0   | needed    | read      | no       |
      | 0.1 | found     | write a/1 | no       |
      | 60  | written   | ready     | no       |
      | 60  | needed    | read      | no       |
      | 60  | found b/2 | wait 6.0  | no       |

  Scenario Outline: an expired lease is taken over with a higher fencing number
    Then a replay for an engine that <checks> fencing numbers gives
      | at     | message   | action        | may send |
      | 0      | needed    | read          | no       |
      | 1      | found b/4 | wait <first>  | no       |
      | 5      | found b/4 | wait <second> | no       |
      | <late> | found b/4 | write a/5     | no       |

    Examples:
      | checks  | first | second | late |
      | checks  | 6.0   | 2.0    | 7    |
      | ignores | 9.0   | 5.0    | 10   |

  Scenario: a renewal restarts the wait for the expiry
    Then a replay for host a gives
      | at | message   | action   | may send |
      | 0  | found b/4 | wait 6.0 | no       |
      | 5  | found b/5 | wait 6.0 | no       |

  Scenario: a released lease is acquired at once
    Then a replay for host a gives
      | at  | message            | action             | may send |
      | 0   | found b/4 released | write a/5          | no       |
      | 0.1 | written            | ready              | yes      |
      | 0.2 | release            | write a/5 released | no       |
      | 0.3 | found first        | wait 6.0           | no       |

  Scenario: the response to the write is lost
    Then a replay for host a gives
      | at  | message   | action    | may send |
      | 0   | found     | write a/1 | no       |
      | 2   | in doubt  | read      | no       |
      | 2.1 | found own | ready     | yes      |
      | 4.9 | needed    | ready     | yes      |
      | 5.0 | needed    | read      | no       |

  Scenario: an earlier write of our own is not taken for the last one
    Then a replay for host a gives
      | at  | message     | action    | may send |
      | 0   | found       | write a/1 | no       |
      | 2   | in doubt    | read      | no       |
      | 2.1 | found       | write a/1 | no       |
      | 2.2 | found first | wait 6.0  | no       |

  Scenario: the platform is down
    Then a replay for host a gives
      | at  | message     | action   | may send |
      | 0   | needed      | read     | no       |
      | 0.1 | unavailable | wait 0.2 | no       |

  Scenario: the engine refuses an order because of a newer holder
    Then a replay for host a gives
      | at  | message   | action    | may send |
      | 0   | found     | write a/1 | no       |
      | 0.1 | written   | ready     | yes      |
      | 0.2 | refused   |           | no       |
      | 0.3 | found own | wait 6.0  | no       |

  Scenario Outline: the next order for an engine
    Given an engine with models <loaded>, role mixed, version 1 and <work>
    When its row has state <state>, models <models>, role <role>, version <number>
    Then the next order is: <order>

    Examples:
      | loaded | work    | state   | models | role   | number | order       |
      | m      | no work | active  | m      | mixed  | 1      | nothing     |
      | m      | no work | active  | -      | -      | -      | nothing     |
      | m      | no work | active  | m,n    | -      | -      | load n      |
      | m      | no work | active  | n      | -      | -      | load n      |
      | m,n    | no work | active  | n      | -      | -      | unload m    |
      | m,n    | work    | active  | n      | -      | -      | nothing     |
      | m      | work    | active  | m      | decode | 2      | version 2   |
      | m      | work    | active  | m      | decode | -      | role decode |
      | m      | no work | stopped | m      | -      | -      | unload m    |
      | m      | work    | stopped | m      | -      | -      | nothing     |

  Scenario: the most requested weights are fetched first, as the store allows
    Then a replay of the queue of a zone gives
      | at  | event         | outcome |
      | 0   | e1 requests m | wait    |
      | 0   | e2 requests n | wait    |
      | 0   | e3 requests n | wait    |
      | 0   | next          | n       |
      | 0.1 | next          | none    |
      | 0.2 | refused 2     |         |
      | 2.1 | next          | none    |
      | 2.2 | next          | n       |
      | 2.3 | fetched       |         |
      | 2.3 | e2 requests n | ready   |
      | 2.3 | next          | m       |
      | 2.4 | fetched       |         |
      | 3   | e4 requests x | wait    |
      | 14  | next          | none    |
