"""celerywharf config: check a settings file or print the reference.

Usage:
  celerywharf config check [--front] FILE
  celerywharf config reference [--front]
  celerywharf config (-h | --help)

Commands:
  check      Check a file; print section, key, value and the allowed values
             for each error.
  reference  Print every section and key with its default.

Options:
  --front    Use the settings of a front instead of an entry host.
"""

from __future__ import annotations

import sys
from collections.abc import Iterator, Sequence

from docopt import docopt
from pydantic import BaseModel

from celerywharf import settings
from celerywharf.cli._exits import ExitCode


def run(argv: Sequence[str]) -> int:
    """Check a file or print the reference."""
    options = docopt(__doc__, argv=list(argv))
    model = settings.HostSettings
    if options['--front']:
        model = settings.FrontSettings
    if options['reference']:
        sys.stdout.writelines(f'{line}\n' for line in reference(model))
        return ExitCode.done
    settings.load(options['FILE'], model)
    sys.stdout.write(f'{options["FILE"]}: settings are valid\n')
    return ExitCode.done


def reference(model: type[BaseModel]) -> Iterator[str]:
    """Yield the lines of a settings file with all keys and descriptions.

    Keys with a default are commented out.
    """
    for section, section_field in model.model_fields.items():
        yield f'[{section}]'
        for key, field in section_field.annotation.model_fields.items():
            yield f'; {field.description}'
            if field.is_required():
                yield f'{key} ='
                continue
            default = field.get_default(call_default_factory=True)
            default = default or None
            text = '' if default is None else default
            yield f'; {key} = {text}'
        yield ''
