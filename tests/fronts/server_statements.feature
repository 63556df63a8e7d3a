Feature: What servers say of themselves in their answers
  Background:
    Given desks d1, d2, d3 and engines e1, e2, e3 in two zones
    And fronts f1, f2, f3 of these zones

  Scenario Outline: a server that says that it leaves gets nothing more
    When <server> says in its answers that it leaves
    And callers send <requests> for 3 s
    Then from 1 s on <server> got no request and no probe
    And all requests were served

    Examples:
      | server | requests |
      | d1     | lookups  |
      | e1     | streams  |

  Scenario Outline: a server that wants nothing for a while gets nothing
    When <server> refuses requests and wants nothing for <wait> s
    And callers send <requests> for 4 s
    Then <server> got at most 2 requests or probes of each front from 0.5 s after a refusal
    And all requests were served

    Examples:
      | server | requests | wait |
      | d1     | lookups  | 6    |
      | d1     | lookups  | 5.5  |
      | e1     | streams  | 6    |

  Scenario: all servers want nothing for a while
    When d1, d2, d3 refuse requests and want nothing for 5 s
    And callers send lookups for 2 s
    Then requests sent from 1 s on were refused within 0.3 s, with a wait of 2 to 10 s

  Scenario: a brittle server that is full has to refuse few requests
    When d1 is full and falls over if it refuses more than 4 requests a second
    And callers send lookups for 6 s
    Then from 2 s on d1 refused at most 4 requests in any 1 s
    And all requests were served

  Scenario Outline: a server that leaves says so in answers that are no good
    When d1, d2, d3 answer <answers>
    And d1 says in its answers that it leaves
    And 3 callers of the nearest front send lookups for 4 s
    Then from 1 s after its first answer d1 got no request and no probe

    Examples:
      | answers                        |
      | with 500                       |
      | with 503                       |
      | without signature              |
      | with the id of another request |
      | with an encoded body           |
      | with less than they announce   |

  Scenario Outline: an engine that leaves says so in heads that are no good
    When e1, e2, e3 answer <answers>
    And e1 says in its answers that it leaves
    And 3 callers of the nearest front send streams for 4 s
    Then from 1 s after its first answer e1 got no request and no probe

    Examples:
      | answers                        |
      | with 503                       |
      | without signature              |
      | with the id of another request |
      | with an encoded body           |

  Scenario: a server that leaves refuses requests with the id of another one
    When d1, d2, d3 refuse with the id of another request
    And d1 says in its answers that it leaves
    And 3 callers of the nearest front send lookups for 4 s
    Then from 1 s after its first answer d1 got no request and no probe

  Scenario Outline: a pause stated without a word that the request has not run
    When <servers> answer with 503
    And <servers> refuse requests and want nothing for 5 s
    And callers send <requests> for 4 s
    Then <server> got at most 2 requests or probes of each front from 0.5 s after a refusal

    Examples:
      | servers    | server | requests |
      | d1, d2, d3 | d1     | lookups  |
      | e1, e2, e3 | e1     | streams  |

  Scenario Outline: a shorter pause does not end a longer one
    When <servers> take 0.1 s for a refusal and want nothing for 6, then for 1 s
    And 8 callers of the nearest front send <requests> for 5 s
    Then from 0.6 s on <server> got at most 2 requests or probes

    Examples:
      | servers    | server | requests |
      | d1, d2, d3 | d1     | lookups  |
      | e1, e2, e3 | e1     | streams  |

  Scenario: brittle servers that want nothing for a while get nothing
    When d1, d2, d3 are full and fall over if they refuse more than 400 requests a second
    And d1, d2, d3 refuse requests and want nothing for 12 s
    And 8 callers of the nearest front send lookups for 11 s
    Then from 0.6 s on d1 got at most 2 requests or probes

  Scenario: a refusal that names another request is none
    When d1, d2, d3 refuse with the id of another request
    And callers send purchases for 1 s
    Then no caller is told that its request has not run
