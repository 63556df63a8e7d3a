Feature: What a soak takes for a broken promise
  Scenario Outline: what callers and servers saw is judged
    Given a calm day on which all is well
    But <what>
    Then the finding says <finding>

    Examples:
      | what                                            | finding                 |
      | a purchase ran twice                            | ran 2 times             |
      | a purchase that was refused with 503 ran        | said not to have run    |
      | a purchase that was refused with 401 ran        | refused, but ran        |
      | an answer is the one to another request         | the answer to another   |
      | an answer is no JSON                            | an answer that is none  |
      | an answer comes from a server that ran nothing  | did not run it          |
      | a stream lacks an event                         | out of order            |
      | a stream has an event twice                     | out of order            |
      | a stream ends early and looks complete          | complete after 1 events |
      | an answer comes 1 s after the deadline          | answered after          |
      | a run nobody asked for                          | nobody asked for        |
      | a stream goes on while its first run works      | two runs for            |
      | a run that a woken server goes on with          | two runs for            |
      | a run inside another one lasts 0.6 s            | two runs for            |
      | a purchase runs 6 s after its key is taken away | key taken away          |
      | four purchases are cut off though they ran      | cut off without         |
      | a quarter fails after the last fault            | served when calm        |
      | nothing is sent after the last fault            | nothing was sent        |
      | a front ends by itself                          | ended by itself         |
      | a front writes an error                         | a front reports         |

  Scenario Outline: what is allowed is no finding
    Given a calm day on which all is well
    But <what>
    Then there is no finding

    Examples:
      | what                                                  |
      | a lookup ran twice                                    |
      | a purchase that was refused with 503 did not run      |
      | a stream breaks after some events                     |
      | a stream breaks inside an event                       |
      | a purchase runs 4 s after its key is taken away       |
      | a stream goes on after its first run has ended        |
      | a stream goes on while a stopped server still works   |
      | a run that a woken server begins in vain              |
      | an answer comes late from a front that was stopped    |
