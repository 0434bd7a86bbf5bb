package flightsql

import (
	"context"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	"github.com/apache/arrow-go/v18/arrow/flight/flightsql/schema_ref"
)

// registerSQLInfo registers the values that GetSqlInfo returns.
func (s *Server) registerSQLInfo() {
	for id, v := range map[flightsql.SqlInfo]any{
		flightsql.SqlInfoFlightSqlServerName:               "cresspass",
		flightsql.SqlInfoFlightSqlServerVersion:            s.cfg.Version,
		flightsql.SqlInfoFlightSqlServerArrowVersion:       arrow.PkgVersion,
		flightsql.SqlInfoFlightSqlServerReadOnly:           false,
		flightsql.SqlInfoFlightSqlServerSql:                true,
		flightsql.SqlInfoFlightSqlServerSubstrait:          false,
		flightsql.SqlInfoFlightSqlServerTransaction:        int32(flightsql.SqlTransactionSavepoint),
		flightsql.SqlInfoFlightSqlServerCancel:             true,
		flightsql.SqlInfoFlightSqlServerBulkIngestion:      false,
		flightsql.SqlInfoFlightSqlServerStatementTimeout:   int32(0),
		flightsql.SqlInfoFlightSqlServerTransactionTimeout: int32(0),
		flightsql.SqlInfoDDLCatalog:                        false,
		flightsql.SqlInfoDDLSchema:                         true,
		flightsql.SqlInfoDDLTable:                          true,
		flightsql.SqlInfoIdentifierCase:                    int64(flightsql.SqlCaseSensitivityLowerCase),
		flightsql.SqlInfoIdentifierQuoteChar:               `"`,
		flightsql.SqlInfoQuotedIdentifierCase: int64(
			flightsql.SqlCaseSensitivityCaseInsensitive),
		flightsql.SqlInfoAllTablesAreASelectable:  true,
		flightsql.SqlInfoNullOrdering:             int64(flightsql.SqlNullOrderingSortHigh),
		flightsql.SqlInfoTransactionsSupported:    true,
		flightsql.SqlInfoSavePointsSupported:      true,
		flightsql.SqlInfoSchemaTerm:               "schema",
		flightsql.SqlInfoCatalogTerm:              "database",
		flightsql.SqlInfoMaxConnections:           int64(0),
		flightsql.SqlInfoSelectForUpdateSupported: true,
		flightsql.SqlInfoBatchUpdatesSupported:    true,
	} {
		if err := s.RegisterSqlInfo(id, v); err != nil {
			s.log.Error("SQL info not registered", "id", id, "error", err)
		}
	}
}

// Type, nullability and search codes of JDBC and ODBC.
const (
	xdbcVarchar    = 12
	xdbcNullable   = 1
	xdbcSearchable = 3 // in any WHERE clause
)

// xdbcType describes an engine's type in the terms of JDBC and ODBC.
type xdbcType struct {
	name     string
	code     int32
	size     int32
	unsigned bool
}

// xdbcTypes are the engine types that DoGetXdbcTypeInfo lists, with their JDBC and ODBC codes.
var xdbcTypes = []xdbcType{{"bool", -7, 1, false}, {"int2", 5, 5, false}, {"int4", 4, 10, false}, {"int8", -5,
	19, false},
	{"float4", 7, 24, false}, {"float8", 8, 53, false}, {"numeric", 2, 1000, false}, {"text", xdbcVarchar,
		1 << 30, false},
	{"varchar", xdbcVarchar, 10485760, false}, {"bytea", -3, 1 << 30, false}, {"date", 91, 13, false},
	{"time", 92, 15, false}, {"timestamp", 93, 29, false}, {"timestamptz", 93, 35, false},
	{"uuid", -2, 16, false}, {"oid", -5, 10, true}}

// GetFlightInfoXdbcTypeInfo returns the ticket for DoGetXdbcTypeInfo.
func (s *Server) GetFlightInfoXdbcTypeInfo(_ context.Context, _ flightsql.GetXdbcTypeInfo,
	fd *flight.FlightDescriptor) (*flight.FlightInfo, error) {
	return s.commandInfo(fd, schema_ref.XdbcTypeInfo)
}

// DoGetXdbcTypeInfo lists the engine types, or those of the data type that the command asks for.
func (s *Server) DoGetXdbcTypeInfo(_ context.Context,
	cmd flightsql.GetXdbcTypeInfo) (*arrow.Schema, <-chan flight.StreamChunk, error) {
	b := array.NewRecordBuilder(s.mem, schema_ref.XdbcTypeInfo)
	defer b.Release()
	for _, t := range xdbcTypes {
		if wanted := cmd.GetDataType(); wanted == nil || *wanted == t.code {
			appendXdbcType(b, t)
		}
	}
	return schema_ref.XdbcTypeInfo, singleChunk(b.NewRecordBatch()), nil
}

func appendXdbcType(b *array.RecordBuilder, t xdbcType) {
	for i, f := range schema_ref.XdbcTypeInfo.Fields() {
		switch f.Name {
		case "type_name", "local_type_name":
			b.Field(i).(*array.StringBuilder).Append(t.name)
		case "data_type", "sql_data_type":
			b.Field(i).(*array.Int32Builder).Append(t.code)
		case "column_size":
			b.Field(i).(*array.Int32Builder).Append(t.size)
		case "nullable":
			b.Field(i).(*array.Int32Builder).Append(xdbcNullable)
		case "case_sensitive":
			b.Field(i).(*array.BooleanBuilder).Append(t.code == xdbcVarchar)
		case "searchable":
			b.Field(i).(*array.Int32Builder).Append(xdbcSearchable)
		case "unsigned_attribute":
			b.Field(i).(*array.BooleanBuilder).Append(t.unsigned)
		case "fixed_prec_scale", "auto_increment":
			b.Field(i).(*array.BooleanBuilder).Append(false)
		default:
			b.Field(i).AppendNull()
		}
	}
}
