//! Shell completions, generated from the lists of commands and options.

use crate::args::{COMMANDS, LONG_OPTIONS, Shell};

/// Returns the script with which `shell` completes commands and options.
pub fn render_completions(shell: Shell) -> String {
    match shell {
        Shell::Bash => bash(),
        Shell::Zsh => zsh(),
        Shell::Fish => fish(),
    }
}

fn long_options() -> Vec<String> {
    LONG_OPTIONS.iter().map(|(name, _)| format!("--{name}")).collect()
}

fn bash() -> String {
    let words = format!("{} {}", COMMANDS.join(" "), long_options().join(" "));
    format!(
        "_coltsfootpick() {{\n    local word=\"${{COMP_WORDS[COMP_CWORD]}}\"\n    \
         COMPREPLY=($(compgen -W \"{words}\" -f -- \"$word\"))\n}}\ncomplete -F _coltsfootpick coltsfootpick\n"
    )
}

fn zsh() -> String {
    let options: Vec<String> = LONG_OPTIONS
        .iter()
        .map(|(name, has_value)| if *has_value { format!("'--{name}=:value:'") } else { format!("'--{name}'") })
        .collect();
    format!(
        "#compdef coltsfootpick\n_arguments {} '1:command:({})' '*:argument:_files'\n",
        options.join(" "),
        COMMANDS.join(" ")
    )
}

fn fish() -> String {
    let commands = COMMANDS.join(" ");
    let first = format!("complete -c coltsfootpick -n __fish_use_subcommand -a '{commands}'\n");
    LONG_OPTIONS.iter().fold(first, |text, (name, has_value)| {
        let value = if *has_value { " -r" } else { "" };
        text + "complete -c coltsfootpick -l " + name + value + "\n"
    })
}
