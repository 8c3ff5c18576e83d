package io.masticpond.command.task;

import java.io.InputStream;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import picocli.CommandLine;
import picocli.CommandLine.ParameterException;

/**
 * Runner of the command line, which it assembles from the subcommands.
 *
 * @since 0.1
 */
public final class Commands {

    private static final int HELP_WIDTH = 100;

    private Commands() {}

    /**
     * Runs the program with the given arguments.
     *
     * @param arguments the command line arguments
     * @param terminal the terminal to write to
     * @param environment the environment variables
     * @param input the standard input
     * @return the exit code
     */
    public static int run(
            String[] arguments,
            Terminal terminal,
            Map<String, String> environment,
            InputStream input) {
        CommonOptions options = new CommonOptions();
        CommandContext context = new CommandContext(terminal, environment, options);
        CommandLine commandLine = create(context, options, input);
        commandLine.setOut(terminal.output()).setErr(terminal.errors());
        int code = commandLine.execute(arguments);
        terminal.output().flush();
        terminal.errors().flush();
        return code;
    }

    private static CommandLine create(
            CommandContext context, CommonOptions options, InputStream input) {
        CommandLine commandLine =
                new CommandLine(new RootCommand(options))
                        .addSubcommand(new PlanCommand(context, input))
                        .addSubcommand(new ConfirmCommand(context))
                        .addSubcommand(new StatusCommand(context))
                        .addSubcommand(new ServicesCommand(context))
                        .addSubcommand(new PlacesCommand(context))
                        .addSubcommand(new SpendingCommand(context))
                        .addSubcommand(new DrainCommand(context))
                        .addSubcommand(new UndrainCommand(context))
                        .addSubcommand(new LookupCommand(context))
                        .addSubcommand(new TimelineCommand(context))
                        .addSubcommand(EntryCommand.create(context))
                        .addSubcommand(
                                new CommandLine(new SettingsCommand())
                                        .addSubcommand(new SettingsCheckCommand(context)))
                        .addSubcommand(new CompletionCommand(context));
        commandLine.setUsageHelpWidth(HELP_WIDTH);
        commandLine.setCaseInsensitiveEnumValuesAllowed(true);
        commandLine.setColorScheme(CommandLine.Help.defaultColorScheme(CommandLine.Help.Ansi.OFF));
        commandLine.getCommandSpec().usageMessage().exitCodeListHeading("%nExit codes:%n");
        commandLine.getCommandSpec().usageMessage().exitCodeList(exitCodes());
        commandLine.setParameterExceptionHandler(
                (exception, given) -> reportUsage(exception, context));
        commandLine.setExecutionExceptionHandler(
                (exception, failed, result) ->
                        context.report(
                                CommandError.of(ExitCode.FAILED, "It failed: " + exception + ".")));
        return commandLine;
    }

    private static int reportUsage(ParameterException exception, CommandContext context) {
        String name = exception.getCommandLine().getCommandSpec().qualifiedName();
        return context.report(
                new CommandError(
                        ExitCode.BAD_USAGE,
                        exception.getMessage(),
                        List.of("See " + name + " --help."),
                        List.of()));
    }

    private static Map<String, String> exitCodes() {
        Map<String, String> descriptions = new LinkedHashMap<>();
        for (ExitCode code : ExitCode.values()) {
            descriptions.put(Integer.toString(code.code()), code.description());
        }
        return descriptions;
    }
}
