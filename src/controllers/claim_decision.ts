import type { Blackboard } from "../board/blackboard.ts";
import type { ClaimResult } from "../board/claims_section.ts";
import { limitsOf } from "../board/limits_in_force.ts";
import { type Problem, problem } from "../core/problem.ts";
import type { CallRequest } from "../core/request.ts";
import { type Millis, SECOND_MS, type Timestamp } from "../core/time.ts";
import type { AbandonedClaims } from "../fold/abandoned_claims.ts";
import { answerFromKnownCall, refused } from "../fold/claim_answer.ts";
import type { ClaimFold } from "../fold/claim_fold.ts";
import {
  checkKeyWindow,
  type ParsedKey,
  parseKey,
} from "../fold/idempotency_key.ts";
import type { IssuedCalls } from "../fold/issued_calls.ts";
import { isIssuedTo } from "../fold/issued_key.ts";
import { livePeers } from "./membership_controller.ts";

const RETRY_AFTER_MS: Millis = 2 * SECOND_MS;

/** What to do with a call that needs a claim. */
export type ClaimDecision =
  | Readonly<{ type: "answer"; result: ClaimResult }>
  /** Append a claim and wait for it to be read back. */
  | Readonly<{ type: "claim"; key: ParsedKey }>
  /** Run the call without a claim: this daemon issued the key and tracks it in memory. */
  | Readonly<{ type: "begin"; key: ParsedKey }>
  /** Decide again later: an abandoned claim of this daemon still holds the key. */
  | Readonly<{ type: "wait" }>;

/** State that a decision depends on. */
export type ClaimContext = Readonly<{
  board: Blackboard;
  now: Timestamp;
  fold: ClaimFold;
  issued: IssuedCalls;
  abandoned: AbandonedClaims;
  keySecret: string;
  /** Whether appends or reads of the log are failing. */
  logDown: boolean;
}>;

/** Problem for a claim that can't be stored in the log; the call was not sent. */
export function claimsUnavailable(): Problem {
  return problem("claims_unavailable", "The log of claims is unavailable.", {
    retryAfterMs: RETRY_AFTER_MS,
  });
}

/** Decides by a call's idempotency key and the claims read so far; nothing is appended yet. */
export function decideClaim(
  req: CallRequest,
  known: ClaimContext,
): ClaimDecision {
  if (req.key === undefined) {
    return refusal(
      problem("key_missing", "This call needs an idempotency key."),
    );
  }
  const key = parseKey(req.key);
  if (key === undefined) {
    return refusal(
      problem("key_malformed", "The key must be a UUIDv7 or an issued key."),
    );
  }
  const err = checkKeyWindow(key, known.now, {
    limits: limitsOf(known.board),
    knownSince: known.fold.knownSince,
  });
  if (err !== undefined) return refusal(err);
  if (key.type === "client") return decideClientKey(req, key, known);
  return key.issued.home === known.board.self.id
    ? decideOwnKey(req, key, known)
    : decideForeignKey(req, key, known);
}

function decideClientKey(
  req: CallRequest,
  key: ParsedKey,
  known: ClaimContext,
): ClaimDecision {
  const claimed = known.fold.activeClaim(req.team, key.key);
  const abandoned = known.abandoned.has(claimed?.claim);
  if (claimed !== undefined && !abandoned) {
    return {
      type: "answer",
      result: answerFromKnownCall(claimed, req.digest, clock(known)),
    };
  }
  if (known.logDown) return refusal(claimsUnavailable());
  if (abandoned) return { type: "wait" };
  if (known.board.claims.caughtUp) return { type: "claim", key };
  return refusal(
    problem("claims_not_read", "Earlier claims are still being read.", {
      retryAfterMs: RETRY_AFTER_MS,
    }),
  );
}

function decideOwnKey(
  req: CallRequest,
  key: Extract<ParsedKey, { type: "issued" }>,
  known: ClaimContext,
): ClaimDecision {
  if (!isIssuedTo(key.issued, req.team, known.keySecret)) {
    return refusal(
      problem("key_malformed", "The key was not issued to this team."),
    );
  }
  const call = known.issued.lookup(req.team, key.key);
  if (call === undefined) {
    if (key.issuedAt > known.issued.knownSince) return { type: "begin", key };
    return refusal(
      problem(
        "key_expired",
        "An earlier attempt with this key may no longer be recorded.",
        {
          verdict: "may_have_run",
        },
      ),
    );
  }
  return {
    type: "answer",
    result: answerFromKnownCall(call, req.digest, clock(known)),
  };
}

/** Returns a recorded outcome, or forwards the call to the key's home, which checks the signature. Without its home the key can never run again. */
function decideForeignKey(
  req: CallRequest,
  key: Extract<ParsedKey, { type: "issued" }>,
  known: ClaimContext,
): ClaimDecision {
  const ended = known.fold.activeClaim(req.team, key.key);
  if (ended !== undefined) {
    return {
      type: "answer",
      result: answerFromKnownCall(ended, req.digest, clock(known)),
    };
  }
  const { home } = key.issued;
  const peers = livePeers(known.board, known.now);
  if (peers.some((peer) => peer.id === home)) {
    return { type: "answer", result: { type: "forward", home } };
  }
  return refusal(
    problem(
      "key_home_lost",
      "The daemon that issued the key can't be reached.",
      {
        verdict: "may_have_run",
      },
    ),
  );
}

function refusal(err: Problem): ClaimDecision {
  return { type: "answer", result: refused(err) };
}

function clock(known: ClaimContext): { now: Timestamp; clockSkewMs: Millis } {
  return { now: known.now, clockSkewMs: limitsOf(known.board).clockSkewMs };
}
