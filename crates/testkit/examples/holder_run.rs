//! Reads the output of `coltsfootpick --json budgets` from standard input and prints the run number under which an
//! instance holds credit, or nothing if it holds none: `holder_run INSTANCE`.

use coltsfootpick_wire::operators::BudgetView;
use eyre::OptionExt;

fn main() -> eyre::Result<()> {
    let instance = std::env::args().nth(1).ok_or_eyre("INSTANCE is required")?;
    let budgets: Vec<BudgetView> = serde_json::from_reader(std::io::stdin())?;
    let mut holdings = budgets.iter().flat_map(|budget| &budget.holdings);
    if let Some(holding) = holdings.find(|holding| holding.instance == instance) {
        println!("{}", holding.run);
    }
    Ok(())
}
