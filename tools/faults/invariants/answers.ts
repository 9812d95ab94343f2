import { type ClientRequest, PromptClient } from "../client.ts";
import { isPoison } from "../fake_engine.ts";
import type { Fleet } from "../fleet.ts";
import { isWaiting } from "../player.ts";

/** A step of the daemon, and the time in which it is due. */
const STEP_MS = 50;

/** Promise 1: no request is open after its deadline while its daemon runs. */
export function everyRequestEnds(fleet: Fleet): string | undefined {
  const { now } = fleet.timeline;
  for (const client of fleet.facts.clients) {
    const { daemon, deadlineAt, id } = client;
    if (!isWaiting(client) || daemon.isPaused || deadlineAt === undefined) {
      continue;
    }
    if (now <= Math.max(deadlineAt, daemon.thawedAt) + STEP_MS) continue;
    return `${id} is open ${now - deadlineAt} ms after its deadline`;
  }
  return undefined;
}

/** Promise 1: a request that its daemon no longer works on has been answered. */
export function givenUpIsAnswered(fleet: Fleet): string | undefined {
  for (const client of fleet.facts.clients) {
    const { daemon, id } = client;
    if (!isWaiting(client) || daemon.isPaused || !daemon.isIdle) continue;
    if (!daemon.exchanges.has(id)) continue;
    if (daemon.board.requests.byId.has(id)) continue;
    return `${id} is open, but ${daemon.id} no longer knows it`;
  }
  return undefined;
}

/** Promise 1: no request ends twice. */
export function oneFinalAnswer(fleet: Fleet): string | undefined {
  const wrong = fleet.facts.clients.find(({ finals }) => finals.length > 1);
  return wrong && `${wrong.id} got ${JSON.stringify(wrong.finals)}`;
}

/** Promise 3: what came was the client's own answer, in order and whole. */
export function answersAreWhole(fleet: Fleet): string | undefined {
  const wrong = fleet.facts.clients.find((one) => one.complaints.length > 0);
  return wrong && `${wrong.id}: ${wrong.complaints.join("; ")}`;
}

/** Promise 4: what was said not to have run has not run, then or later. */
export function notRunIsTrue(fleet: Fleet): string | undefined {
  const wrong = fleet.facts.clients.find((client) =>
    client.finals.some(({ verdict }) => verdict === "not_run") &&
    hasRun(fleet, client)
  );
  return wrong && `${wrong.id} was told not_run, but it has run`;
}

/** Promise 5: a key that may run once has run once at most. */
export function keysRunOnce(fleet: Fleet): string | undefined {
  for (const [key, runs] of fleet.book.runsByKey) {
    if (runs > 1) return `key ${key} has run ${runs} times`;
  }
  return undefined;
}

/**
 * Promise 10: content that crashes engines costs two of them at most. Daemons that can't hear of each other
 * may each lose some; what one of them refuses, all that hear it refuse.
 */
export function poisonIsBounded(fleet: Fleet): string | undefined {
  const { losses, poisonAttempts, isDisturbed } = fleet.facts;
  const late = poisonAttempts.find((one) => one.knownForMs > HEARD_MS);
  if (late !== undefined) {
    return `${late.daemon} ran ${late.content}, refused for ${late.knownForMs} ms`;
  }
  if (isDisturbed) return undefined;
  for (const [content, { byPoison }] of losses) {
    if (isPoison(content) && byPoison > MAX_LOSSES) {
      return `${content} has crashed ${byPoison} engines`;
    }
  }
  return undefined;
}

/** Promise 10: a block of many prompts costs no more engines than its trials within an hour, three after the fifth. */
export function poisonBlockIsBounded({ facts }: Fleet): string | undefined {
  if (facts.isDisturbed || facts.lostToBlock <= MAX_BLOCK_LOSSES) {
    return undefined;
  }
  return `a block has crashed ${facts.lostToBlock} engines`;
}

/** Promise 10: nobody is refused because of what only ran beside poison. */
export function neighboursAreServed(fleet: Fleet): string | undefined {
  if (fleet.facts.isDisturbed) return undefined;
  for (const client of fleet.facts.clients) {
    if (!(client instanceof PromptClient) || isPoison(client.content)) continue;
    if (!client.finals.some(({ code }) => code === "quarantined")) continue;
    const byFault = fleet.facts.losses.get(client.content)?.byFault ?? 0;
    if (byFault > 0) continue;
    return `${client.id} was quarantined, but only ran beside poison`;
  }
  return undefined;
}

const HEARD_MS = 2_000;
const MAX_LOSSES = 2;
const MAX_BLOCK_LOSSES = 8;

function hasRun(fleet: Fleet, client: ClientRequest): boolean {
  return fleet.facts.started.has(client.id) || fleet.book.runs.has(client.id);
}
