import * as grpc from "@grpc/grpc-js";
import { ResultAsync } from "neverthrow";
import {
  type CallForward,
  type CallReply,
  type Envelope,
  PeerClient,
} from "../gen/peer.ts";
import { type Millis, SECOND_MS } from "../core/time.ts";
import { type CountBytes, countedService } from "./counted_service.ts";
import {
  insecureCredentials,
  type PeerCredentials,
} from "./peer_credentials.ts";
import { MAX_PEER_MESSAGE_BYTES } from "./peer_server.ts";

const SEND_TIMEOUT_MS: Millis = SECOND_MS;
const MAX_CHANNELS = 256;
const SERVICE_NAME = "parsleyfield.Peer";

/** Failed call to a peer, and whether the peer may have run it nonetheless. */
export type PeerError = Readonly<
  { code: "unreachable"; verdict: "not_run" | "may_have_run"; detail: string }
>;

/** gRPC clients of the other daemons, with one channel per address. */
export class PeerClients {
  readonly #channels = new Map<string, PeerClient>();

  readonly #credentials: PeerCredentials;
  readonly #Client: typeof PeerClient;

  private constructor(credentials: PeerCredentials, count: CountBytes) {
    this.#credentials = credentials;
    this.#Client = grpc.makeGenericClientConstructor(
      countedService(count),
      SERVICE_NAME,
    ) as unknown as typeof PeerClient;
  }

  static create(
    credentials: PeerCredentials = insecureCredentials(),
    count: CountBytes = () => {},
  ): PeerClients {
    return new PeerClients(credentials, count);
  }

  /** Sends one message; after an error or a time-out, the next call opens a new channel. */
  send(address: string, envelope: Envelope): ResultAsync<void, PeerError> {
    const client = this.#channel(address);
    const sent = new Promise<void>((resolve, reject) => {
      client.send(envelope, new grpc.Metadata(), {
        deadline: Date.now() + SEND_TIMEOUT_MS,
      }, (err) => err === null ? resolve() : reject(err));
    });
    return ResultAsync.fromPromise(
      sent,
      (err) => this.#discardChannel(address, client, err as grpc.ServiceError),
    );
  }

  /** Forwards a call to the daemon that issued its key, with the call's remaining time as deadline. */
  runCall(
    address: string,
    call: CallForward,
  ): ResultAsync<CallReply, PeerError> {
    const client = this.#channel(address);
    const ran = new Promise<CallReply>((resolve, reject) => {
      const deadline = Date.now() + call.leftMs;
      client.runCall(
        call,
        new grpc.Metadata(),
        { deadline },
        (err, reply) => err === null ? resolve(reply) : reject(err),
      );
    });
    return ResultAsync.fromPromise(
      ran,
      (err) => this.#discardChannel(address, client, err as grpc.ServiceError),
    );
  }

  close(): void {
    for (const client of this.#channels.values()) client.close();
    this.#channels.clear();
  }

  #discardChannel(
    address: string,
    client: PeerClient,
    err: grpc.ServiceError,
  ): PeerError {
    if (this.#channels.get(address) === client) this.#channels.delete(address);
    client.close();
    // grpc-js reports UNAVAILABLE for a connection lost after sending too, so no failed call is surely unsent.
    return {
      code: "unreachable",
      verdict: "may_have_run",
      detail: err.message,
    };
  }

  #channel(address: string): PeerClient {
    const existing = this.#channels.get(address);
    if (existing !== undefined) return existing;
    this.#evictOldest();
    const client = new this.#Client(address, this.#credentials.channel, {
      "grpc.max_receive_message_length": MAX_PEER_MESSAGE_BYTES,
      "grpc.enable_retries": 0,
      "grpc.use_local_subchannel_pool": 1,
      "grpc.initial_reconnect_backoff_ms": 100,
      "grpc.max_reconnect_backoff_ms": SECOND_MS,
    });
    this.#channels.set(address, client);
    return client;
  }

  #evictOldest(): void {
    if (this.#channels.size < MAX_CHANNELS) return;
    const oldest = this.#channels.entries().next().value;
    if (oldest === undefined) return;
    this.#channels.delete(oldest[0]);
    oldest[1].close();
  }
}
