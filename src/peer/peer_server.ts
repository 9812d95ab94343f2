import * as grpc from "@grpc/grpc-js";
import { type CountBytes, countedService } from "./counted_service.ts";
import {
  insecureCredentials,
  type PeerCredentials,
} from "./peer_credentials.ts";
import { ResultAsync } from "neverthrow";
import {
  type CallForward,
  type CallReply,
  type Envelope,
} from "../gen/peer.ts";

/** Largest message that a peer may send, in bytes. */
export const MAX_PEER_MESSAGE_BYTES = 8 * 1_048_576;

/** Handlers of the messages and calls that the server receives. */
export type PeerHandlers = Readonly<{
  /** Receives the size of each message. */
  count?: CountBytes;
  deliver: (envelope: Envelope) => void;
  runCall: (call: CallForward) => Promise<CallReply>;
}>;

/** gRPC server for the other daemons. */
export class PeerServer {
  readonly #server: grpc.Server;
  readonly #credentials: grpc.ServerCredentials;

  private constructor(
    server: grpc.Server,
    credentials: grpc.ServerCredentials,
  ) {
    this.#server = server;
    this.#credentials = credentials;
  }

  static create(
    handlers: PeerHandlers,
    credentials: PeerCredentials = insecureCredentials(),
  ): PeerServer {
    const server = new grpc.Server({
      "grpc.max_receive_message_length": MAX_PEER_MESSAGE_BYTES,
    });
    server.addService(countedService(handlers.count ?? (() => {})), {
      send: (
        call: grpc.ServerUnaryCall<Envelope, object>,
        reply: grpc.sendUnaryData<object>,
      ) => {
        handlers.deliver(call.request);
        reply(null, {});
      },
      runCall: (
        call: grpc.ServerUnaryCall<CallForward, CallReply>,
        reply: grpc.sendUnaryData<CallReply>,
      ) => {
        handlers.runCall(call.request).then(
          (answer) => reply(null, answer),
          (err: unknown) =>
            reply({ code: grpc.status.INTERNAL, details: String(err) }),
        );
      },
    });
    return new PeerServer(server, credentials.server);
  }

  /** Binds `host:port` and resolves with the bound port. */
  listen(address: string): ResultAsync<number, Error> {
    const bound = new Promise<number>((resolve, reject) => {
      this.#server.bindAsync(
        address,
        this.#credentials,
        (err, port) => err === null ? resolve(port) : reject(err),
      );
    });
    return ResultAsync.fromPromise(bound, (err) => err as Error);
  }

  close(): Promise<void> {
    return new Promise((resolve) => this.#server.tryShutdown(() => resolve()));
  }

  /** Shuts down without waiting for open calls. */
  kill(): void {
    this.#server.forceShutdown();
  }
}
