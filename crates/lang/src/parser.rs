//! Conversion of text to statements; `pest` generates the parser from `grammar.pest`.

use pest::{
    Parser, Span,
    error::{Error, ErrorVariant, LineColLocation},
    iterators::Pair,
};

use crate::{
    ClassSetting, Command, Comparison, Condition, EventSetting, LangError, MAX_STATEMENT_BYTES,
    OrganisationSetting, Query, Statement, Table, TargetState, Value,
};

#[allow(missing_docs)]
mod grammar {
    /// Parser that `pest` generates from the grammar.
    #[derive(pest_derive::Parser)]
    #[grammar = "grammar.pest"]
    pub(super) struct StatementParser;
}

use grammar::{Rule, StatementParser};

/// Parses a statement of at most [`MAX_STATEMENT_BYTES`].
///
/// # Errors
///
/// Returns the position of the first error and what was expected there.
pub fn parse(text: &str) -> Result<Statement, LangError> {
    if text.len() > MAX_STATEMENT_BYTES {
        let detail =
            format!("statement of {} bytes, expected at most {MAX_STATEMENT_BYTES}", text.len());
        return Err(LangError { line: 1, column: 1, detail });
    }
    let mut pairs =
        StatementParser::parse(Rule::statement, text).map_err(|error| describe_error(&error))?;
    let statement = pairs.next().map(inner_pairs).into_iter().flatten();
    let mut command = None;
    let mut expected_version = None;
    for part in statement {
        match part.as_rule() {
            Rule::command => command = inner_pairs(part).next(),
            Rule::expectation => {
                expected_version = inner_pairs(part).next().map(|number| parse_number(&number))
            }
            _ => {}
        }
    }
    let Some(command) = command else {
        return Err(LangError { line: 1, column: 1, detail: "expected a command".to_owned() });
    };
    let command = build_command(command)?;
    Ok(Statement { command, expected_version: expected_version.transpose()? })
}

fn is_keyword(rule: Rule) -> bool {
    matches!(
        rule,
        Rule::event_word
            | Rule::vm_word
            | Rule::organisation_word
            | Rule::class_word
            | Rule::where_word
            | Rule::and_word
            | Rule::by_word
            | Rule::expect_word
            | Rule::version_word
    )
}

/// Returns the inner pairs without keywords. Keywords have rules of their own only so that parse
/// errors can name them.
fn inner_pairs(pair: Pair<'_, Rule>) -> impl Iterator<Item = Pair<'_, Rule>> {
    pair.into_inner().filter(|part| !is_keyword(part.as_rule()))
}

fn describe_error(error: &Error<Rule>) -> LangError {
    let (line, column) = match error.line_col {
        LineColLocation::Pos(position) | LineColLocation::Span(position, _) => position,
    };
    let detail = match &error.variant {
        ErrorVariant::ParsingError { positives, .. } => {
            let mut names: Vec<&str> = positives.iter().map(|rule| rule_name(*rule)).collect();
            names.sort_unstable();
            names.dedup();
            format!("expected {}", names.join(", or "))
        }
        ErrorVariant::CustomError { message } => message.clone(),
    };
    LangError { line, column, detail }
}

fn rule_name(rule: Rule) -> &'static str {
    match rule {
        Rule::statement | Rule::command | Rule::show | Rule::open | Rule::pause | Rule::close => {
            "a command: show, open, pause, close, drain, resume, set, create, delete"
        }
        Rule::drain | Rule::resume | Rule::set | Rule::create | Rule::delete => {
            "a command: show, open, pause, close, drain, resume, set, create, delete"
        }
        Rule::table | Rule::laggards | Rule::word => "the name of a table",
        Rule::filter => "where FIELD OP VALUE",
        Rule::condition | Rule::field => "the name of a field",
        Rule::grouping => "by FIELD",
        Rule::operator => "one of = != < <= > >=",
        Rule::set_class | Rule::set_event | Rule::create_event | Rule::delete_event => "event",
        Rule::set_organisation | Rule::create_organisation | Rule::delete_organisation => {
            "organisation"
        }
        Rule::expectation => "expect version N",
        Rule::number => "a whole number",
        Rule::text | Rule::inner => "a text in double quotes",
        Rule::json => "an object in JSON",
        Rule::value | Rule::flag => "a value: a number, true, false or a text",
        Rule::name | Rule::bare => "a name",
        Rule::event_word => "event",
        Rule::vm_word => "vm",
        Rule::organisation_word => "organisation",
        Rule::class_word => "class",
        Rule::where_word => "where FIELD OP VALUE",
        Rule::and_word => "and",
        Rule::by_word => "by FIELD",
        Rule::expect_word => "expect version N",
        Rule::version_word => "version",
        Rule::EOI => "the end of the statement",
        Rule::WHITESPACE => "a space",
    }
}

fn syntax_error(span: Span<'_>, detail: String) -> LangError {
    let (line, column) = span.start_pos().line_col();
    LangError { line, column, detail }
}

fn parse_number(pair: &Pair<'_, Rule>) -> Result<u64, LangError> {
    let number = pair.as_str().parse();
    number
        .map_err(|_| syntax_error(pair.as_span(), "expected a whole number below 2^64".to_owned()))
}

/// Returns the text of a name, without the quotes if it has any.
fn pair_text(pair: Pair<'_, Rule>) -> String {
    match pair.as_rule() {
        Rule::text | Rule::name | Rule::value => {
            inner_pairs(pair).next().map(pair_text).unwrap_or_default()
        }
        _ => pair.as_str().to_owned(),
    }
}

fn build_command(pair: Pair<'_, Rule>) -> Result<Command, LangError> {
    let rule = pair.as_rule();
    let mut parts = inner_pairs(pair);
    let Some(first) = parts.next() else {
        return Err(LangError { line: 1, column: 1, detail: "expected a command".to_owned() });
    };
    Ok(match rule {
        Rule::show => Command::Show(build_query(first, parts)?),
        Rule::open => Command::Event { event: pair_text(first), state: TargetState::Open },
        Rule::pause => Command::Event { event: pair_text(first), state: TargetState::Paused },
        Rule::close => Command::Event { event: pair_text(first), state: TargetState::Closed },
        Rule::drain => Command::Drain { vm: pair_text(first), draining: true },
        Rule::resume => Command::Drain { vm: pair_text(first), draining: false },
        _ => return build_change(first),
    })
}

fn build_change(pair: Pair<'_, Rule>) -> Result<Command, LangError> {
    let rule = pair.as_rule();
    let span = pair.as_span();
    let mut parts = inner_pairs(pair);
    let mut next =
        || parts.next().ok_or_else(|| syntax_error(span, "expected another argument".to_owned()));
    let subject = next()?;
    Ok(match rule {
        Rule::set_class => {
            let class = pair_text(next()?);
            let setting = build_class_setting(&next()?, next()?)?;
            Command::SetClass { event: pair_text(subject), class, setting }
        }
        Rule::set_event => {
            let setting = build_event_setting(&next()?, &next()?)?;
            Command::SetEvent { event: pair_text(subject), setting }
        }
        Rule::set_organisation => {
            let setting = build_organisation_setting(&next()?, &next()?)?;
            Command::SetOrganisation { organisation: pair_text(subject), setting }
        }
        Rule::create_event => Command::CreateEvent { json: pair_text(subject) },
        Rule::create_organisation => Command::CreateOrganisation { json: pair_text(subject) },
        Rule::delete_event => Command::DeleteEvent { event: pair_text(subject) },
        _ => Command::DeleteOrganisation { organisation: pair_text(subject) },
    })
}

fn build_class_setting(
    field: &Pair<'_, Rule>,
    value: Pair<'_, Rule>,
) -> Result<ClassSetting, LangError> {
    match field.as_str() {
        "priority" => Ok(ClassSetting::Priority(number_below(&value, 256)? as u8)),
        "deadline_ms" => Ok(ClassSetting::DeadlineMs(number_below(&value, u64::MAX)?)),
        "once" => match value.as_str().to_ascii_lowercase().as_str() {
            "true" => Ok(ClassSetting::Once(true)),
            "false" => Ok(ClassSetting::Once(false)),
            _ => Err(syntax_error(value.as_span(), "expected true or false".to_owned())),
        },
        _ => Err(syntax_error(
            field.as_span(),
            "expected one of priority, deadline_ms, once".to_owned(),
        )),
    }
}

fn build_event_setting(
    field: &Pair<'_, Rule>,
    value: &Pair<'_, Rule>,
) -> Result<EventSetting, LangError> {
    match field.as_str() {
        "start_ms" => Ok(EventSetting::StartMs(number_below(value, u64::MAX)?)),
        "expected_per_s" => Ok(EventSetting::ExpectedPerS(number_below(value, 1 << 32)? as u32)),
        _ => {
            let detail = "expected class \"NAME\", or one of start_ms, expected_per_s".to_owned();
            Err(syntax_error(field.as_span(), detail))
        }
    }
}

fn build_organisation_setting(
    field: &Pair<'_, Rule>,
    value: &Pair<'_, Rule>,
) -> Result<OrganisationSetting, LangError> {
    match field.as_str() {
        "weight" => Ok(OrganisationSetting::Weight(number_below(value, 1 << 20)? as u32)),
        "limit_per_s" => Ok(OrganisationSetting::LimitPerS(number_below(value, 1 << 32)? as u32)),
        _ => Err(syntax_error(field.as_span(), "expected one of weight, limit_per_s".to_owned())),
    }
}

fn number_below(value: &Pair<'_, Rule>, bound: u64) -> Result<u64, LangError> {
    let number = value.as_str().parse::<u64>().ok().filter(|number| *number < bound);
    number.ok_or_else(|| {
        syntax_error(value.as_span(), format!("expected a whole number below {bound}"))
    })
}

fn build_query<'a>(
    table: Pair<'a, Rule>,
    parts: impl Iterator<Item = Pair<'a, Rule>>,
) -> Result<Query, LangError> {
    let mut query = Query { table: parse_table(&table)?, conditions: Vec::new(), group_by: None };
    for part in parts {
        match part.as_rule() {
            Rule::filter => query.conditions.extend(inner_pairs(part).filter_map(build_condition)),
            _ => query.group_by = inner_pairs(part).next().map(|field| field.as_str().to_owned()),
        }
    }
    Ok(query)
}

fn parse_table(pair: &Pair<'_, Rule>) -> Result<Table, LangError> {
    let words: Vec<String> =
        pair.as_str().split_whitespace().map(str::to_ascii_lowercase).collect();
    let name = words.join(" ");
    let found = Table::ALL.into_iter().find(|table| table.to_string() == name);
    found.ok_or_else(|| {
        let names: Vec<String> = Table::ALL.iter().map(Table::to_string).collect();
        syntax_error(pair.as_span(), format!("expected one of {}", names.join(", ")))
    })
}

fn build_condition(pair: Pair<'_, Rule>) -> Option<Condition> {
    let mut parts = inner_pairs(pair);
    let field = parts.next()?.as_str().to_owned();
    let comparison = match parts.next()?.as_str() {
        "=" => Comparison::Equal,
        "!=" => Comparison::NotEqual,
        "<" => Comparison::Less,
        "<=" => Comparison::LessOrEqual,
        ">" => Comparison::Greater,
        _ => Comparison::GreaterOrEqual,
    };
    let value = parts.next()?.into_inner().next()?;
    let value = match value.as_rule() {
        Rule::number => Value::Number(value.as_str().parse().ok()?),
        Rule::flag => Value::Flag(value.as_str().eq_ignore_ascii_case("true")),
        _ => Value::Text(pair_text(value)),
    };
    Some(Condition { field, comparison, value })
}
