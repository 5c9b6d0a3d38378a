//! Parsing of the operators' language, and the positions of parse errors.

use assert_matches::assert_matches;
use proptest::prelude::*;
use switchfold_lang::{
    ClassSetting, Command, Comparison, EventSetting, MAX_STATEMENT_BYTES, OrganisationSetting,
    Table, TargetState, Value, parse,
};

fn command(text: &str) -> Command {
    parse(text).unwrap_or_else(|error| panic!("{text}: {error}")).command
}

#[test]
fn show_parses_every_table() {
    for table in Table::ALL {
        assert_matches!(command(&format!("show {table}")), Command::Show(query) if query.table == table);
        assert_matches!(command(&format!("SHOW   {table} ;")), Command::Show(query) if query.table == table);
    }
}

#[test]
fn show_parses_conditions_and_grouping() {
    let Command::Show(query) =
        command(r#"show waiting where waiting >= 3 and organisation != "a b" by target"#)
    else {
        panic!("a query");
    };
    assert_eq!(query.group_by.as_deref(), Some("target"));
    assert_eq!(query.conditions.len(), 2);
    assert_eq!(query.conditions[0].comparison, Comparison::GreaterOrEqual);
    assert_eq!(query.conditions[0].value, Value::Number(3));
    assert!(query.conditions[0].matches("10") && !query.conditions[0].matches("2"));
    assert!(query.conditions[1].matches("b") && !query.conditions[1].matches("a b"));
}

#[test]
fn commands_that_change_state_are_parsed() {
    assert_matches!(command(r#"open event "dawn""#), Command::Event { event, state: TargetState::Open } if event == "dawn");
    assert_matches!(
        command(r#"pause event "dawn""#),
        Command::Event { state: TargetState::Paused, .. }
    );
    assert_matches!(
        command(r#"close event "dawn""#),
        Command::Event { state: TargetState::Closed, .. }
    );
    assert_matches!(command("drain vm 10.0.0.7:7000"), Command::Drain { vm, draining: true } if vm == "10.0.0.7:7000");
    assert_matches!(command("resume vm engine-3"), Command::Drain { vm, draining: false } if vm == "engine-3");
    assert_matches!(
        command(r#"set event "dawn" class "lot-summary" priority 2"#),
        Command::SetClass { event, class, setting: ClassSetting::Priority(2) } if event == "dawn" && class == "lot-summary"
    );
    assert_matches!(
        command(r#"set event "dawn" class "note" once true"#),
        Command::SetClass { setting: ClassSetting::Once(true), .. }
    );
    assert_matches!(
        command(r#"set event "dawn" expected_per_s 900"#),
        Command::SetEvent { setting: EventSetting::ExpectedPerS(900), .. }
    );
    assert_matches!(
        command(r#"set organisation "acme" limit_per_s 50"#),
        Command::SetOrganisation { setting: OrganisationSetting::LimitPerS(50), .. }
    );
    assert_matches!(command(r#"delete event "dawn""#), Command::DeleteEvent { event } if event == "dawn");
    assert_matches!(
        command(r#"create event {"name": "x", "classes": []}"#),
        Command::CreateEvent { json } if json.trim() == r#"{"name": "x", "classes": []}"#
    );
    let expected = parse(r#"open event "dawn" expect version 12"#)
        .expect("a valid statement")
        .expected_version;
    assert_eq!(expected, Some(12));
}

#[test]
fn errors_name_position_and_expected_input() {
    let table = [
        ("", 1, "a command"),
        ("shw events", 1, "a command"),
        ("open evnt \"dawn\"", 6, "event"),
        ("open event dawn", 12, "double quotes"),
        ("show fish", 6, "one of events"),
        ("show events where", 18, "field"),
        ("show events where state ~ 1", 25, "= !="),
        ("show events by", 15, "field"),
        ("drain 10.0.0.7", 7, "vm"),
        ("set event \"d\" class \"c\" speed 1", 25, "priority, deadline_ms, once"),
        ("set event \"d\" class \"c\" priority 300", 34, "below 256"),
        ("set event \"d\" class \"c\" once maybe", 30, "true or false"),
        ("set organisation \"o\" colour 1", 22, "weight, limit_per_s"),
        ("open event \"d\" expect 4", 23, "version"),
        ("open event \"d\" please", 16, "end of the statement"),
    ];
    for (text, column, expected) in table {
        let error = parse(text).expect_err(text);
        assert_eq!((error.line, error.column), (1, column), "{text}: {error}");
        assert!(error.detail.contains(expected), "{text}: {error}");
    }
    let second_line = parse("show events\n  wher state = 1").expect_err("a syntax error");
    assert_eq!((second_line.line, second_line.column), (2, 3));
    assert!(parse(&"x".repeat(MAX_STATEMENT_BYTES + 1)).is_err());
}

proptest! {
    /// Whatever the text, the parser returns, and the position of an error lies within the text.
    #[test]
    fn parser_never_panics_and_errors_lie_within_the_text(text in "[ a-z\"{}=<>0-9._-]{0,60}") {
        if let Err(error) = parse(&text) {
            prop_assert!(error.line >= 1 && error.column <= text.chars().count() + 1);
        }
    }
}
