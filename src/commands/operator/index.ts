/** `dandelionramp`: the operators' commands, which work through the operators' port of any entry. */
import { Args, Flags } from "@oclif/core";
import { readFileSync } from "node:fs";
import { configurationKinds, describeError, JsonResponse, requestJson, SettingsError } from "../../internal.js";
import LossesCommand from "../losses.js";
import { ProgramCommand, usageExitCode } from "../program.js";

const defaultAddress = "127.0.0.1:8280";
const failedExitCode = 1;
/** Limit on a response: all objects of a kind. */
const maximumResponseBytes = 32 * 1024 * 1024;
const addressFlag = {
    entry: Flags.string({
        description: "address of an entry's port for operators, as host:port",
        default: defaultAddress,
        env: "DANDELIONRAMP_ENTRY",
    }),
};
const readFlags = { ...addressFlag, json: Flags.boolean({ description: "print as JSON" }) };
const kindArgument = Args.string({ description: `one of ${configurationKinds.join(", ")}`, required: true });
const nameArgument = Args.string({ description: "name of the object", required: true });

abstract class OperatorCommand extends ProgramCommand {
    protected async sendRequest(entry: string, method: string, path: string, value?: unknown): Promise<JsonResponse> {
        try {
            return await requestJson({ address: entry, method, path, maximumResponseBytes }, value);
        }
        catch (error) {
            return this.error(`the entry at ${entry} does not respond: ${describeError(error)}`, {
                exit: failedExitCode,
            });
        }
    }

    /** Prints the response to a read, or exits with its error. */
    protected printResponse(response: JsonResponse, json: boolean, format: (value: never) => string): void {
        if (response.status !== 200) {
            this.error((response.value as { error: string; }).error, { exit: failedExitCode });
        }
        this.log(json ? JSON.stringify(response.value, undefined, 4) : format(response.value as never));
    }

    /** Prints the outcome of a change, or exits with its error. */
    protected printChange(response: JsonResponse, subject: string): void {
        const outcome = response.value as {
            type?: string;
            version?: number;
            current?: { version: number; };
            error?: string;
        };
        if (outcome.type === "Accepted") {
            this.log(`${subject}: accepted as version ${outcome.version}.`);
            return;
        }
        if (outcome.type === "Provisional") {
            this.log(
                `${subject}: accepted provisionally. The platform is down; the change is written when the platform is back.`,
            );
            return;
        }
        if (outcome.type === "Conflict") {
            const currentVersion = outcome.current
                ? `version ${outcome.current.version} is there now`
                : "the object doesn't exist";
            this.error(`${subject}: rejected, as the object was changed since; ${currentVersion}.`, {
                exit: failedExitCode,
            });
        }
        this.error(outcome.error ?? `${subject}: the entry responded with status ${response.status}`, {
            exit: failedExitCode,
        });
    }
}

interface StatusView {
    instance: string;
    dataCentre: string;
    accepting: boolean;
    platformDown: boolean;
    configurationRevision: number;
    activeRequests: number;
    waitingRequests: number;
    provisionalOuts: { kind: string; name: string; }[];
    peers: { id: string; answers: boolean; configurationRevision: number; }[];
    endpoints: {
        id: string;
        dataCentre: string;
        trust: string;
        restricted: boolean;
        home?: string;
        inFlight: number;
        running: number;
    }[];
}

const formatStatus = (status: StatusView): string => {
    const lines = [
        `${status.instance} in ${status.dataCentre}: ${status.accepting ? "accepting" : "not accepting"}, `
        + `platform ${status.platformDown ? "down" : "up"}, configuration revision ${status.configurationRevision}`,
        `requests: ${status.activeRequests} active, ${status.waitingRequests} waiting`,
    ];
    for (const out of status.provisionalOuts) {
        lines.push(`provisional out: ${out.kind} ${out.name}`);
    }
    for (const peer of status.peers) {
        lines.push(`peer ${peer.id}: ${peer.answers ? "answers" : "silent"}, revision ${peer.configurationRevision}`);
    }
    for (const endpoint of status.endpoints) {
        const restricted = endpoint.restricted ? ", takes no new work" : "";
        lines.push(
            `endpoint ${endpoint.id} in ${endpoint.dataCentre}: ${endpoint.trust.toLowerCase()}${restricted}, `
                + `home ${endpoint.home ?? "none"}, ${endpoint.inFlight} from here, ${endpoint.running} reported`,
        );
    }
    return lines.join("\n");
};

class StatusCommand extends OperatorCommand {
    static override description = "Show the state of an entry: peers, endpoints, requests, provisional outs.";
    static override examples = ["<%= config.bin %> status", "<%= config.bin %> status --json"];
    static override flags = readFlags;

    async run(): Promise<void> {
        const { flags } = await this.parse(StatusCommand);
        this.printResponse(await this.sendRequest(flags.entry, "GET", "/status"), flags.json, formatStatus);
    }
}

interface ObjectView {
    name: string;
    version: number;
    value: unknown;
}

class ListCommand extends OperatorCommand {
    static override description = "List the objects of one kind.";
    static override examples = ["<%= config.bin %> list profile", "<%= config.bin %> list customer --json"];
    static override flags = readFlags;
    static override args = { kind: kindArgument };

    async run(): Promise<void> {
        const { flags, args } = await this.parse(ListCommand);
        const response = await this.sendRequest(flags.entry, "GET", `/objects/${args.kind}`);
        this.printResponse(
            response,
            flags.json,
            ({ objects }: { objects: ObjectView[]; }) =>
                objects.map(object => `${object.name}  version ${object.version}`).join("\n"),
        );
    }
}

class ShowCommand extends OperatorCommand {
    static override description = "Show an object and its version.";
    static override examples = ["<%= config.bin %> show service standin"];
    static override flags = readFlags;
    static override args = { kind: kindArgument, name: nameArgument };

    async run(): Promise<void> {
        const { flags, args } = await this.parse(ShowCommand);
        const response = await this.sendRequest(
            flags.entry,
            "GET",
            `/objects/${args.kind}/${encodeURIComponent(args.name)}`,
        );
        this.printResponse(
            response,
            flags.json,
            (object: ObjectView) => `version ${object.version}\n${JSON.stringify(object.value, undefined, 4)}`,
        );
    }
}

const changeFlags = {
    ...addressFlag,
    "expected-version": Flags.integer({
        description: "version that the change is based on; the change is rejected if the object has another version",
        min: 0,
    }),
};

class SetCommand extends OperatorCommand {
    static override description = "Write an object. Omitted fields get their defaults.";
    static override examples = [
        "<%= config.bin %> set profile patient --value '{\"defaultTimeoutMilliseconds\": 120000}'",
        "<%= config.bin %> set customer kalahari --file customer.json --expected-version 12",
    ];
    static override flags = {
        ...changeFlags,
        file: Flags.string({ description: "JSON file that contains the value", exclusive: ["value"] }),
        value: Flags.string({ description: "the value as JSON", exclusive: ["file"] }),
    };
    static override args = { kind: kindArgument, name: nameArgument };

    async run(): Promise<void> {
        const { flags, args } = await this.parse(SetCommand);
        const path = `/objects/${args.kind}/${encodeURIComponent(args.name)}`;
        const value = this.readValue(flags.file, flags.value);
        const response = await this.sendRequest(flags.entry, "PUT", path, {
            value,
            expectedVersion: flags["expected-version"],
        });
        this.printChange(response, `${args.kind} ${args.name}`);
    }

    private readValue(file: string | undefined, value: string | undefined): unknown {
        if (file === undefined && value === undefined) {
            return this.error("expected --file or --value", { exit: usageExitCode });
        }
        try {
            return JSON.parse(value ?? readFileSync(file!, "utf8")) as unknown;
        }
        catch (error) {
            throw new SettingsError(`${file ?? "--value"}: expected JSON: ${describeError(error)}`, { cause: error });
        }
    }
}

class RemoveCommand extends OperatorCommand {
    static override description = "Remove an object.";
    static override examples = ["<%= config.bin %> remove customer kalahari"];
    static override flags = changeFlags;
    static override args = { kind: kindArgument, name: nameArgument };

    async run(): Promise<void> {
        const { flags, args } = await this.parse(RemoveCommand);
        const path = `/objects/${args.kind}/${encodeURIComponent(args.name)}`;
        const response = await this.sendRequest(flags.entry, "DELETE", path, {
            expectedVersion: flags["expected-version"],
        });
        this.printChange(response, `${args.kind} ${args.name}`);
    }
}

enum Direction {
    Out = "out",
    In = "in",
}

abstract class RestrictionCommand extends OperatorCommand {
    static override flags = addressFlag;
    static override args = { name: nameArgument };
    protected abstract readonly direction: Direction;
    protected abstract readonly kind: "dataCentre" | "instance";

    async run(): Promise<void> {
        const { flags, args } = await this.parse({ flags: addressFlag, args: { name: nameArgument } });
        const path = `/${this.direction}/${this.kind}/${encodeURIComponent(args.name)}`;
        const kindText = this.kind === "dataCentre" ? "data centre" : "instance";
        this.printChange(
            await this.sendRequest(flags.entry, "POST", path),
            `${kindText} ${args.name} ${this.direction}`,
        );
    }
}

const restrictionCommand = (
    direction: Direction,
    kind: "dataCentre" | "instance",
    description: string,
): typeof RestrictionCommand =>
    class extends RestrictionCommand {
        static override description = description;
        static override examples = [
            `<%= config.bin %> <%= command.id %> ${kind === "dataCentre" ? "north" : "engine-01"}`,
        ];
        protected override readonly direction = direction;
        protected override readonly kind = kind;
    };

/** Commands by name. */
export const commands = {
    losses: LossesCommand,
    status: StatusCommand,
    list: ListCommand,
    show: ShowCommand,
    set: SetCommand,
    remove: RemoveCommand,
    "data-centre:out": restrictionCommand(
        Direction.Out,
        "dataCentre",
        "Take a data centre out: within seconds, it gets no new work.",
    ),
    "data-centre:in": restrictionCommand(Direction.In, "dataCentre", "Bring a data centre back in."),
    "instance:out": restrictionCommand(
        Direction.Out,
        "instance",
        "Take an instance out: within seconds, it gets no new work.",
    ),
    "instance:in": restrictionCommand(Direction.In, "instance", "Bring an instance back in."),
};
