"""Steps for settings and the findings of their checks."""

from __future__ import annotations

from behave import then
from behave import when
from click import testing

from peridotmast.cli import router as router_cli
from peridotmast import ini
from peridotmast.schema import peridotmast_pb2 as pb


@when('these router settings are checked')
def check_settings(context):
    _, context.found = ini.load_text(context.text, pb.RouterFile, 'a.ini')


@then('these findings are reported')
def findings_reported(context):
    lines = [str(finding) for finding in context.found]
    for row in context.table:
        place = f'a.ini:{row["line"]}: '
        matching = [
            line
            for line in lines
            if line.startswith(place) and row['text'] in line
        ]
        assert matching, (row['text'], lines)


@when('the router program checks these settings')
def check_with_program(context):
    path = f'{context.folder}/router.ini'
    with open(path, 'w') as file:
        file.write(context.text)
    runner = testing.CliRunner()
    context.run = runner.invoke(router_cli.main, ['--config', path, '--check'])


@then('the router program exits with {code:d}')
def exits_with(context, code):
    assert context.run.exit_code == code, context.run.output


@then('its output contains "{first}" and "{second}"')
def output_contains(context, first, second):
    assert first in context.run.output, context.run.output
    assert second in context.run.output, context.run.output


@then('the findings contain "{first}" and "{second}" and "{third}"')
def findings_contain(context, first, second, third):
    text = str(context.found)
    assert all(part in text for part in (first, second, third)), text
