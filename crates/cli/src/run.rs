//! Executes one command.

use std::path::Path;

use coltsfootpick_core::document::{Document, KeyHash};
use coltsfootpick_core::document_diff::{differences, removed_accounts};
use coltsfootpick_core::names::Stage;
use coltsfootpick_wire::operators as api;
use eyre::WrapErr;
use serde::Serialize;

use crate::args::{Args, BudgetArgs, Command, IncarnationArgs};
use crate::client::{Client, ClientError};
use crate::completions;
use crate::exit::Exit;
use crate::table::render_table;

/// Manual page in troff format.
const MANUAL: &str = include_str!("../../../docs/man/coltsfootpick.1");

/// Environment variable that holds the operator's key.
const KEY_VARIABLE: &str = "COLTSFOOTPICK_KEY";

/// Executes the command and returns its exit code.
pub fn run(args: &Args) -> eyre::Result<Exit> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(execute(args))
}

async fn execute(args: &Args) -> eyre::Result<Exit> {
    match &args.command {
        Command::Check(path) => return check(path),
        Command::HashKey => {
            println!("{}", KeyHash::of(&operator_key()?));
            return Ok(Exit::Success);
        }
        Command::Completions(shell) => {
            print!("{}", completions::render_completions(*shell));
            return Ok(Exit::Success);
        }
        Command::Man => {
            print!("{MANUAL}");
            return Ok(Exit::Success);
        }
        _ => {}
    }
    let key = operator_key()?;
    let mut clients: Vec<Client> =
        args.addresses.iter().map(|address| Client::new(*address, &args.operator, &key)).collect();
    if matches!(args.command, Command::Status) && clients.len() > 1 {
        return fleet_status(args, &clients).await;
    }
    let client = clients.swap_remove(0);
    match &args.command {
        Command::Trial(path) => trial(args, &client, path).await,
        Command::Promote(environment) => promote(args, &client, environment).await,
        Command::TopUp(budget, tokens) => top_up(args, &client, budget, *tokens).await,
        Command::Close(holder) => close(args, &client, holder).await,
        Command::Release(budget, holder, reason) => release(args, &client, budget, holder, reason).await,
        Command::Drain => print_response(args, &client.post("/v1/drain", &()).await?),
        Command::Environments => environments(args, &client).await,
        Command::Budgets => budgets(args, &client).await,
        Command::Attempts => attempts(args, &client).await,
        Command::Status => status(args, &client).await,
        Command::Diff(path, stage) => diff(args, &client, path, *stage).await,
        Command::History(environment) => history(args, &client, environment).await,
        Command::Audit => audit(args, &client).await,
        Command::Snapshot => snapshot(args, &client).await,
        Command::Help
        | Command::Version
        | Command::Check(_)
        | Command::HashKey
        | Command::Completions(_)
        | Command::Man => Ok(Exit::Success),
    }
}

fn operator_key() -> eyre::Result<String> {
    std::env::var(KEY_VARIABLE).wrap_err_with(|| format!("{KEY_VARIABLE} must hold the key"))
}

fn read_document(path: &Path) -> eyre::Result<String> {
    std::fs::read_to_string(path).wrap_err_with(|| format!("cannot read {}", path.display()))
}

fn check(path: &Path) -> eyre::Result<Exit> {
    match Document::parse(&read_document(path)?) {
        Ok(document) => {
            let (accounts, services) = (document.accounts.len(), document.services.len());
            println!("{} is valid: {accounts} accounts, {services} services", path.display());
            Ok(Exit::Success)
        }
        Err(faults) => {
            for fault in &faults {
                println!("{}: {fault}", path.display());
            }
            Ok(Exit::Refused)
        }
    }
}

/// Returns the id of the order: the value of `--id` or a random id.
///
/// Prints a random id before the order is sent, so that the operator can repeat an order that got no response.
fn order_id(args: &Args) -> String {
    let id = args.id.clone().unwrap_or_else(|| format!("{:016x}", rand::random::<u64>()));
    if args.id.is_none() {
        eprintln!("order id {id}");
    }
    id
}

fn print_response(args: &Args, response: &api::OrderResponse) -> eyre::Result<Exit> {
    match args.json {
        true => print_json(response)?,
        false => println!("{}", response.message),
    }
    Ok(if response.done { Exit::Success } else { Exit::Refused })
}

fn print_json(value: &impl Serialize) -> eyre::Result<()> {
    println!("{}", serde_json::to_string_pretty(value)?);
    Ok(())
}

/// Returns the version that must be in force for the order: the value of `--expected` or the version in force now.
async fn expected_version(args: &Args, client: &Client, environment: &str) -> Result<u64, ClientError> {
    if let Some(expected) = args.expected {
        return Ok(expected);
    }
    let environments: Vec<api::EnvironmentView> = client.get("/v1/environments").await?;
    Ok(environments.iter().find(|view| view.name == environment).map_or(0, |view| view.version))
}

async fn trial(args: &Args, client: &Client, path: &Path) -> eyre::Result<Exit> {
    let text = read_document(path)?;
    let Ok(document) = Document::parse(&text) else {
        return check(path);
    };
    let environment = document.environment.to_string();
    let expected = expected_version(args, client, &environment).await?;
    let order = api::TrialOrder { id: order_id(args), expected, document: text };
    print_response(args, &client.post(&format!("/v1/environments/{environment}/trial"), &order).await?)
}

async fn promote(args: &Args, client: &Client, environment: &str) -> eyre::Result<Exit> {
    let expected = expected_version(args, client, environment).await?;
    let order = api::PromoteOrder { id: order_id(args), expected };
    print_response(args, &client.post(&format!("/v1/environments/{environment}/promote"), &order).await?)
}

async fn top_up(args: &Args, client: &Client, budget: &BudgetArgs, tokens: u64) -> eyre::Result<Exit> {
    let order = api::TopUpOrder {
        id: order_id(args),
        environment: budget.environment.clone(),
        stage: budget.stage,
        account: budget.account.clone(),
        tokens,
    };
    print_response(args, &client.post("/v1/budgets/top-up", &order).await?)
}

async fn close(args: &Args, client: &Client, holder: &IncarnationArgs) -> eyre::Result<Exit> {
    let order = api::CloseOrder { instance: holder.instance.clone(), run: holder.run.clone() };
    print_response(args, &client.post("/v1/incarnations/close", &order).await?)
}

async fn release(
    args: &Args,
    client: &Client,
    budget: &BudgetArgs,
    holder: &IncarnationArgs,
    reason: &str,
) -> eyre::Result<Exit> {
    let order = api::ReleaseOrder {
        id: order_id(args),
        environment: budget.environment.clone(),
        stage: budget.stage,
        account: budget.account.clone(),
        instance: holder.instance.clone(),
        run: holder.run.clone(),
        reason: reason.to_owned(),
    };
    print_response(args, &client.post("/v1/budgets/release", &order).await?)
}

async fn environments(args: &Args, client: &Client) -> eyre::Result<Exit> {
    let views: Vec<api::EnvironmentView> = client.get("/v1/environments").await?;
    if args.json {
        print_json(&views)?;
        return Ok(Exit::Success);
    }
    let rows: Vec<Vec<String>> = views.iter().map(environment_row).collect();
    print!("{}", render_table(&["ENVIRONMENT", "VERSION", "OPERATOR", "PRODUCTION"], &rows));
    Ok(Exit::Success)
}

fn environment_row(environment: &api::EnvironmentView) -> Vec<String> {
    let production = match environment {
        environment if !environment.production => "no",
        environment if environment.differs => "yes, another document is in trial",
        _ => "yes",
    };
    vec![environment.name.clone(), environment.version.to_string(), environment.operator.clone(), production.to_owned()]
}

async fn budgets(args: &Args, client: &Client) -> eyre::Result<Exit> {
    let views: Vec<api::BudgetView> = client.get("/v1/budgets").await?;
    if args.json {
        print_json(&views)?;
        return Ok(Exit::Success);
    }
    let header = ["BUDGET", "PAID IN", "FREE", "GRANTED", "RESERVED", "SPENT", "IN DOUBT", "HOLDERS"];
    let rows: Vec<Vec<String>> = views.iter().map(budget_row).collect();
    print!("{}", render_table(&header, &rows));
    Ok(Exit::Success)
}

fn budget_row(budget: &api::BudgetView) -> Vec<String> {
    let name = format!("{}/{}/{}", budget.environment, budget.stage, budget.account);
    let amounts = [budget.topped, budget.free, budget.granted, budget.reserved, budget.spent, budget.doubt];
    let holders = budget.holdings.iter().map(|holding| {
        let state = if holding.closed { " closed" } else { "" };
        format!("{}#{}={}{state}", holding.instance, holding.run, holding.outstanding)
    });
    let holders = holders.collect::<Vec<_>>().join(", ");
    std::iter::once(name).chain(amounts.map(|amount| amount.to_string())).chain(std::iter::once(holders)).collect()
}

async fn attempts(args: &Args, client: &Client) -> eyre::Result<Exit> {
    let views: Vec<api::AttemptView> = client.get("/v1/attempts").await?;
    if args.json {
        print_json(&views)?;
        return Ok(Exit::Success);
    }
    let rows: Vec<Vec<String>> = views
        .iter()
        .map(|attempt| {
            let budget = format!("{}/{}/{}", attempt.environment, attempt.stage, attempt.account);
            vec![budget, attempt.key.clone(), attempt.state.clone(), attempt.owner.clone()]
        })
        .collect();
    print!("{}", render_table(&["BUDGET", "KEY", "STATE", "OWNER"], &rows));
    Ok(Exit::Success)
}

async fn status(args: &Args, client: &Client) -> eyre::Result<Exit> {
    let view: api::StatusView = client.get("/v1/status").await?;
    if args.json {
        print_json(&view)?;
        return Ok(Exit::Success);
    }
    let draining = if view.draining { ", draining" } else { "" };
    println!("{} in {}: {} open requests{draining}", view.instance, view.zone, view.open);
    let streams: Vec<Vec<String>> =
        view.streams.iter().map(|stream| vec![stream.stream.clone(), stream.next.to_string()]).collect();
    print!("\n{}", render_table(&["STREAM", "READ UP TO"], &streams));
    let environments: Vec<Vec<String>> = view.environments.iter().map(environment_row).collect();
    print!("\n{}", render_table(&["ENVIRONMENT", "VERSION", "OPERATOR", "PRODUCTION"], &environments));
    let servers: Vec<Vec<String>> = view.servers.iter().map(server_row).collect();
    print!("\n{}", render_table(&["SERVER", "SERVICE", "OPEN", "STATE"], &servers));
    Ok(Exit::Success)
}

fn server_row(server: &api::ServerView) -> Vec<String> {
    let state = if server.leaving { "leaving" } else { "live" };
    vec![server.name.clone(), server.service.clone(), server.open.to_string(), state.to_owned()]
}

async fn diff(args: &Args, client: &Client, path: &Path, stage: Stage) -> eyre::Result<Exit> {
    let Ok(new) = Document::parse(&read_document(path)?) else {
        return check(path);
    };
    let environment = &new.environment;
    let in_force: Option<String> =
        client.get(&format!("/v1/environments/{environment}/document?stage={stage}")).await?;
    let Some(old) = in_force.as_deref().and_then(|text| Document::parse(text).ok()) else {
        println!("{environment} has no document in {stage}");
        return Ok(Exit::Success);
    };
    let lines: Vec<String> = differences(&old, &new).iter().map(ToString::to_string).collect();
    if args.json {
        print_json(&lines)?;
        return Ok(Exit::Success);
    }
    for line in &lines {
        println!("{line}");
    }
    let budgets: Vec<api::BudgetView> = client.get("/v1/budgets").await?;
    for name in removed_accounts(&old, &new) {
        let affected = budgets.iter().filter(|budget| budget.environment == **environment && budget.account == **name);
        for budget in affected.filter(|budget| budget.free + budget.granted + budget.doubt > 0) {
            let remaining = budget.free + budget.granted + budget.doubt;
            println!("! account {name} still has {remaining} tokens in {}", budget.stage);
        }
    }
    if lines.is_empty() {
        println!("the document changes nothing");
    }
    Ok(Exit::Success)
}

async fn history(args: &Args, client: &Client, environment: &str) -> eyre::Result<Exit> {
    let changes: Vec<api::ChangeView> = client.get(&format!("/v1/environments/{environment}/history")).await?;
    if args.json {
        print_json(&changes)?;
        return Ok(Exit::Success);
    }
    let row = |change: &api::ChangeView| {
        let expected = change.expected.to_string();
        [&change.offset.to_string(), &change.kind, &expected, &change.operator, &change.id, &change.outcome]
            .map(Clone::clone)
            .to_vec()
    };
    let rows: Vec<Vec<String>> = changes.iter().map(row).collect();
    print!("{}", render_table(&["OFFSET", "CHANGE", "EXPECTED", "OPERATOR", "ORDER", "OUTCOME"], &rows));
    Ok(Exit::Success)
}

async fn audit(args: &Args, client: &Client) -> eyre::Result<Exit> {
    let view: api::AuditView = client.get("/v1/audit").await?;
    if args.json {
        print_json(&view)?;
    } else {
        let since = if view.trimmed { "since the log's oldest record" } else { "since the beginning" };
        println!("{} records read {since}, {} skipped, {} requests billed", view.records, view.skipped, view.billed);
        print_section("billed more than once", &view.repeated);
        print_section("overspent budgets", &view.overspent);
        print_section("calls with unknown end", &view.unknown);
        print_section("top-ups, closes and releases", &view.notable);
    }
    Ok(if view.overspent.is_empty() { Exit::Success } else { Exit::Refused })
}

fn print_section(title: &str, lines: &[String]) {
    println!("{title}: {}", lines.len());
    for line in lines {
        println!("  {line}");
    }
}

async fn snapshot(args: &Args, client: &Client) -> eyre::Result<Exit> {
    let written: Vec<api::SnapshotView> = client.post("/v1/snapshot", &()).await?;
    if args.json {
        print_json(&written)?;
        return Ok(Exit::Success);
    }
    let row = |view: &api::SnapshotView| {
        vec![view.stream.clone(), view.next.to_string(), view.chunks.to_string(), view.bytes.to_string()]
    };
    let rows: Vec<Vec<String>> = written.iter().map(row).collect();
    print!("{}", render_table(&["STREAM", "AS OF", "RECORDS", "BYTES"], &rows));
    Ok(Exit::Success)
}

/// Shows the state of each instance and, for each environment, the instance with the oldest version.
async fn fleet_status(args: &Args, clients: &[Client]) -> eyre::Result<Exit> {
    let mut views: Vec<api::StatusView> = Vec::new();
    for (client, address) in clients.iter().zip(&args.addresses) {
        match client.get("/v1/status").await {
            Ok(view) => views.push(view),
            Err(error) => eprintln!("{address}: {error}"),
        }
    }
    if args.json {
        print_json(&views)?;
    } else {
        print!("{}", render_table(&["INSTANCE", "ZONE", "OPEN", "DRAINING", "ENVIRONMENTS"], &status_rows(&views)));
        for line in version_lag_lines(&views) {
            println!("{line}");
        }
    }
    Ok(if views.len() == clients.len() { Exit::Success } else { Exit::Failure })
}

fn status_rows(views: &[api::StatusView]) -> Vec<Vec<String>> {
    let row = |view: &api::StatusView| {
        let versions =
            view.environments.iter().map(|environment| format!("{}={}", environment.name, environment.version));
        let versions = versions.collect::<Vec<_>>().join(" ");
        vec![view.instance.clone(), view.zone.clone(), view.open.to_string(), view.draining.to_string(), versions]
    };
    views.iter().map(row).collect()
}

/// Returns a line for each environment: its newest version and, if instances differ, the one with the oldest version.
fn version_lag_lines(views: &[api::StatusView]) -> Vec<String> {
    let environments =
        views.iter().flat_map(|view| view.environments.iter().map(move |environment| (view, environment)));
    let names: std::collections::BTreeSet<&str> =
        environments.clone().map(|(_, environment)| environment.name.as_str()).collect();
    let version = |view: &api::StatusView, name: &str| {
        view.environments
            .iter()
            .find(|environment| environment.name == name)
            .map_or(0, |environment| environment.version)
    };
    let line = |name: &str| {
        let newest = views.iter().map(|view| version(view, name)).max()?;
        let slowest = views.iter().min_by_key(|view| version(view, name))?;
        match version(slowest, name) {
            oldest if oldest == newest => Some(format!("{name}: version {newest} everywhere")),
            oldest => Some(format!("{name}: version {newest}, slowest {} with {oldest}", slowest.instance)),
        }
    };
    names.into_iter().filter_map(line).collect()
}
