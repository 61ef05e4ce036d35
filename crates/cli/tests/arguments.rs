//! The command line, the completions and the manual pages list the same commands and options.

use coltsfootpick_cli::args::{COMMANDS, Command, LONG_OPTIONS, Shell, parse_args, usage};
use coltsfootpick_cli::completions::render_completions;
use test_case::test_case;

const MANUAL: &str = include_str!("../../../docs/man/coltsfootpick.1");
const DAEMON_MANUAL: &str = include_str!("../../../docs/man/coltsfootpickd.1");

fn parse(words: &[&str]) -> Result<coltsfootpick_cli::args::Args, coltsfootpick_cli::args::ArgsError> {
    parse_args(words.iter().map(ToString::to_string))
}

#[test]
fn listed_commands() {
    let usage = usage();
    for command in COMMANDS {
        assert!(usage.contains(&format!("\n    {command}")), "the usage lacks {command}");
        assert!(MANUAL.contains(&format!("\\fB{command}\\fR")), "the manual lacks {command}");
    }
    let count = usage.lines().filter(|line| line.starts_with("    ") && !line.starts_with("     ")).count();
    assert!(count >= COMMANDS.len(), "the usage shows fewer commands than the list has");
}

#[test]
fn listed_options() {
    let usage = usage();
    let count = usage.matches("--").count();
    assert!(count >= LONG_OPTIONS.len());
    for (option, _) in LONG_OPTIONS {
        assert!(usage.contains(&format!("--{option}")), "the usage lacks {option}");
        assert!(MANUAL.contains(&format!("\\-\\-{option}")), "the manual lacks {option}");
    }
    for option in ["config", "check", "help", "version"] {
        assert!(DAEMON_MANUAL.contains(&format!("\\-\\-{option}")), "the daemon's manual lacks {option}");
    }
}

#[test_case(Shell::Bash; "bash")]
#[test_case(Shell::Zsh; "zsh")]
#[test_case(Shell::Fish; "fish")]
fn completed_words(shell: Shell) {
    let script = render_completions(shell);
    for command in COMMANDS {
        assert!(script.contains(command), "{command}");
    }
    for (option, _) in LONG_OPTIONS {
        assert!(script.contains(option), "{option}");
    }
}

#[test]
fn several_addresses() {
    let args = parse(&["--address", "127.0.0.1:1", "--address", "127.0.0.1:2", "status"]).unwrap();
    assert_eq!((args.command, args.addresses.len()), (Command::Status, 2));
}

#[test_case(&[]; "no command")]
#[test_case(&["fly"]; "unknown command")]
#[test_case(&["promote"]; "missing argument")]
#[test_case(&["top-up", "m", "a", "many"]; "invalid tokens")]
#[test_case(&["--address", "here", "status"]; "invalid address")]
#[test_case(&["--expected", "x", "promote", "m"]; "invalid version")]
#[test_case(&["--stage", "later", "top-up", "m", "a", "1"]; "unknown stage")]
#[test_case(&["release", "m", "a", "i", "1"]; "release without reason")]
#[test_case(&["completions", "sh"]; "unknown shell")]
fn wrong_arguments(words: &[&str]) {
    assert!(parse(words).is_err());
}
