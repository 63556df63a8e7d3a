Feature: The command line interface
  Scenario Outline: every command has a help text
    When celerywharf <command> --help is run
    Then it prints the usage of <command>

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
      | quarantine |
      | usage    |
      | version  |

  Scenario Outline: a failed call prints one error line and sets its exit code
    When celerywharf is called with <arguments>
    Then it exits with <code> and prints the error "<message>"

    Examples:
      | arguments                        | code | message             |
      | absent                           | 2    | unknown command     |
      | config check absent.ini          | 3    | cannot be read      |
      | serve --config=absent.ini        | 3    | cannot be read      |
      | config check-routes absent.json  | 2    | No such file        |
      | status --host=127.0.0.1:1        | 4    | cannot be reached   |
      | usage --host=127.0.0.1:1         | 4    | cannot be reached   |
      | timeline --host=127.0.0.1:1      | 4    | cannot be reached   |
      | status --host=nowhere            | 3    | expected ip:port    |
      | quarantine list --store=127.0.0.1:1 | 4 | Could not connect  |
      | quarantine list --store=nowhere  | 3    | expected ip:port    |
      | timeline --file=absent.jsonl     | 1    | No such file        |
