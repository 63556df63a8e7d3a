"""celerywharf config: check a settings file.

Usage:
  celerywharf config check FILE
  celerywharf config reference
  celerywharf config (-h | --help)

Commands:
  check      Name section, key, value and what is allowed for each error.
  reference  Print every section and key with its default.
"""

from __future__ import annotations

import sys
from collections.abc import Iterator, Sequence

from docopt import docopt

from celerywharf import settings
from celerywharf.cli._exits import ExitCode


def run(words: Sequence[str]) -> int:
    """Check a file or print the reference."""
    options = docopt(__doc__, argv=list(words))
    if options['reference']:
        sys.stdout.writelines(f'{line}\n' for line in reference())
        return ExitCode.done
    settings.load(options['FILE'])
    sys.stdout.write(f'{options["FILE"]}: settings are valid\n')
    return ExitCode.done


def reference() -> Iterator[str]:
    """Yield the lines of a commented settings file."""
    for section, holder in settings.HostSettings.model_fields.items():
        yield f'[{section}]'
        for key, field in holder.annotation.model_fields.items():
            yield f'; {field.description}'
            if field.is_required():
                yield f'{key} ='
                continue
            default = field.default
            text = '' if default in {None, ()} else default
            yield f'; {key} = {text}'
        yield ''
