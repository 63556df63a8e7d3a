Feature: The command line
  Scenario Outline: every command explains itself
    When celerywharf <command> --help is run
    Then it prints a usage that names <command>

    Examples:
      | command  |
      | serve    |
      | config   |
      | table    |
      | account  |
      | service  |
      | backend  |
      | host     |
      | status   |
      | timeline |
      | usage    |
      | version  |

  Scenario Outline: a wrong call gives one clear line and its exit code
    When celerywharf is called with <words>
    Then it exits <code> and says "<message>"

    Examples:
      | words                            | code | message             |
      | dance                            | 2    | unknown command     |
      | config check absent.ini          | 3    | cannot be read      |
      | serve --config=absent.ini        | 3    | cannot be read      |
      | status --host=127.0.0.1:1        | 4    | cannot be reached   |
      | usage --host=127.0.0.1:1         | 4    | cannot be reached   |
      | timeline --host=127.0.0.1:1      | 4    | cannot be reached   |
      | status --host=nowhere            | 3    | not written ip:port |
      | timeline --file=absent.jsonl     | 1    | No such file        |
